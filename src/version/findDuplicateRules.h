/** \file
 * Finds rules that contradict or repeat earlier rules. */
#ifndef PLANTAINHATCH_VERSION_FINDDUPLICATERULES_H
#define PLANTAINHATCH_VERSION_FINDDUPLICATERULES_H

#include "base/Finding.h"
#include "version/Rule.h"

#include <span>
#include <string>

namespace plantainhatch::internal {

/** Reports each rule with the subject of an earlier rule. Findings name the
 * file \p fileName. Pure. */
Findings findDuplicateRules(std::span<const Rule> rules,
                            const std::string &fileName);

} // namespace plantainhatch::internal

#endif
