#include "process/NestedCalls.h"

namespace plantainhatch {

namespace {

/** Counts are halved from here on, so that what came long ago counts less. */
constexpr unsigned MaxCalls = 512;

} // namespace

double NestedCalls::onCall(const std::string &rule, const std::string &service,
                           const TargetRuns &runs) {
  if (rules.size() >= MaxRules && !rules.contains(rule))
    return 0;
  Rule &counts = rules[rule];
  counts.service = service;
  ++counts.calls;
  if (runs.all == 0)
    ++counts.callsAtIdleTarget;
  if (counts.calls >= MaxCalls) {
    counts.calls /= 2;
    counts.callsAtIdleTarget /= 2;
  }
  if (runs.all == 0 || !counts.isNested())
    return 0;
  return static_cast<double>(runs.repeats) / static_cast<double>(runs.all);
}

bool NestedCalls::isNested(const std::string &rule) const {
  const auto it = rules.find(rule);
  return it != rules.end() && it->second.isNested();
}

} // namespace plantainhatch
