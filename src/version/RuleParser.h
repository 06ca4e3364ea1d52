/** \file
 * Parses a rules file: plain text, one rule a line, each ending in a comment
 * that names its author. */
#ifndef PLANTAINHATCH_VERSION_RULEPARSER_H
#define PLANTAINHATCH_VERSION_RULEPARSER_H

#include "base/Finding.h"
#include "version/Rule.h"

#include <string>
#include <string_view>
#include <vector>

namespace plantainhatch {

/** Larger rules files are refused, so that a version always fits a node's
 * memory. */
inline constexpr std::size_t MaxRulesBytes = 1024UL * 1024;

/** Parses \p text, named \p fileName in findings. Pure.
 * \return the rules in their order, or every fault with file, line and column.
 */
Checked<std::vector<Rule>> parseRules(std::string_view text,
                                      const std::string &fileName);

} // namespace plantainhatch

#endif
