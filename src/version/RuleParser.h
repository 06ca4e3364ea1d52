/** \file
 * Parses a rules file: plain text with one rule per line, each followed by a
 * comment that names its author. */
#ifndef PLANTAINHATCH_VERSION_RULEPARSER_H
#define PLANTAINHATCH_VERSION_RULEPARSER_H

#include "base/Finding.h"
#include "version/Rule.h"

#include <string>
#include <string_view>
#include <vector>

namespace plantainhatch {

/** Maximum size of a rules file, so that a version always fits in the memory of
 * a node. */
inline constexpr std::size_t MaxRulesBytes = 1024UL * 1024;

/** Parses \p text; findings name it \p fileName. Pure.
 * \return the rules in the order of the file, or all faults with file, line and
 * column. */
Checked<std::vector<Rule>> parseRules(std::string_view text,
                                      const std::string &fileName);

} // namespace plantainhatch

#endif
