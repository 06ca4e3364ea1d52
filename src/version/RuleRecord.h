/** \file
 * Rules as lines of text, for configurations that are not written as a rules
 * file. */
#ifndef PLANTAINHATCH_VERSION_RULERECORD_H
#define PLANTAINHATCH_VERSION_RULERECORD_H

#include "base/Finding.h"
#include "version/Rule.h"

#include <string>
#include <string_view>
#include <variant>

namespace plantainhatch {

/** A rule that one line of text can hold. */
using RuleRecord =
    std::variant<ServiceRule, DomainRule, TargetTraits, TeamRule, RolloutRule>;

/** Start of the lines of domain rules. */
inline constexpr std::string_view DomainRecordPrefix = "domain ";
/** Start of the lines of roll-outs. */
inline constexpr std::string_view RolloutRecordPrefix = "rollout ";

/** The line of \p record, with its line break. Equal records give equal lines.
 * Invalid UTF-8 is replaced. Pure. */
std::string encodeRecord(const RuleRecord &record);

/** Parses a line that encodeRecord() has returned, with or without its line
 * break. Pure. \return the record, or a finding that names the fault. */
Checked<RuleRecord> decodeRecord(std::string_view line);

} // namespace plantainhatch

#endif
