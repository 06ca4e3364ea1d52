/** \file
 * One member of a decision's line. */
#ifndef PLANTAINHATCH_PROCESS_DECISIONFIELD_H
#define PLANTAINHATCH_PROCESS_DECISIONFIELD_H

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace plantainhatch {

/** A name and a value. The name outlives the field. */
struct DecisionField {
  std::string_view name;
  std::variant<std::string, std::int64_t, double> value;

  DecisionField(std::string_view name, std::string_view text)
      : name(name), value(std::string(text)) {}
  DecisionField(std::string_view name, std::integral auto number)
      : name(name), value(static_cast<std::int64_t>(number)) {}
  DecisionField(std::string_view name, std::floating_point auto number)
      : name(name), value(static_cast<double>(number)) {}
};

/** What decided, in the order in which it is written. */
using DecisionFields = std::vector<DecisionField>;

} // namespace plantainhatch

#endif
