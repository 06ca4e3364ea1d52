#include "process/Member.h"

#include <array>

namespace plantainhatch {

std::string_view toString(Liveness liveness) {
  static constexpr std::array<std::string_view, 4> Names{"alive", "suspect",
                                                         "dead", "left"};
  return Names.at(static_cast<std::size_t>(liveness));
}

std::string_view toString(TargetState state) {
  static constexpr std::array<std::string_view, 4> Names{"absent", "cold",
                                                         "warm", "leaving"};
  return Names.at(static_cast<std::size_t>(state));
}

} // namespace plantainhatch
