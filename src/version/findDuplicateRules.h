/** \file
 * A pass over parsed rules that finds rules which contradict or repeat one
 * another. */
#ifndef PLANTAINHATCH_VERSION_FINDDUPLICATERULES_H
#define PLANTAINHATCH_VERSION_FINDDUPLICATERULES_H

#include "base/Finding.h"
#include "version/Rule.h"

#include <span>
#include <string>

namespace plantainhatch::internal {

/** One finding for each rule whose subject an earlier rule already has. Pure.
 */
Findings findDuplicateRules(std::span<const Rule> rules,
                            const std::string &fileName);

} // namespace plantainhatch::internal

#endif
