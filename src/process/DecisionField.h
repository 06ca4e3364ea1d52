/** \file
 * One field of a line in the decision log. */
#ifndef PLANTAINHATCH_PROCESS_DECISIONFIELD_H
#define PLANTAINHATCH_PROCESS_DECISIONFIELD_H

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace plantainhatch {

/** A name and a value. The name is not copied, so it must outlive the field; a
 * text value is copied. */
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

/** The inputs and the outcome of a decision, in the order of output. */
using DecisionFields = std::vector<DecisionField>;

} // namespace plantainhatch

#endif
