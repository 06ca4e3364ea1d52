#include "request/PickPolicy.h"

namespace plantainhatch {

std::optional<AnyPickPolicy> makePickPolicy(std::string_view name) {
  if (name == "hot-cold")
    return HotColdPolicy();
  if (name == "expected-end")
    return ExpectedEndPolicy();
  if (name == "random")
    return RandomPolicy();
  if (name == "round-robin")
    return RoundRobinPolicy();
  if (name == "least-in-flight")
    return LeastInFlightPolicy();
  return std::nullopt;
}

} // namespace plantainhatch
