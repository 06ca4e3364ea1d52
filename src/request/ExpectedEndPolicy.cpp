#include "request/ExpectedEndPolicy.h"

#include <algorithm>
#include <vector>

namespace plantainhatch {

namespace {

double networkPenalty(const Candidate &choice) {
  if (choice.isLocalNode)
    return 0;
  return choice.isLocalDomain ? ExpectedEndPolicy::HopPenalty
                              : ExpectedEndPolicy::DomainPenalty;
}

/** Expected wait for a slot, in service times. */
double waitInServiceTimes(const Candidate &choice) {
  if (choice.load.limit <= 0)
    return 1;
  return std::max(0.0, choice.load.inFlight + 1 - choice.load.limit) /
         choice.load.limit;
}

} // namespace

double ExpectedEndPolicy::expectedEnd(const Candidate &choice) {
  const double utilization = std::min(choice.utilization(), 1.0);
  const double multiplier = 1.0 + waitInServiceTimes(choice) +
                            UtilizationPenalty * utilization * utilization;
  const double excessFailureRate =
      std::max(0.0, choice.load.failureRate - ToleratedFailureRate);
  return choice.load.slowdown * multiplier + networkPenalty(choice) +
         FailurePenalty * excessFailureRate +
         (choice.isSuspect ? SuspectPenalty : 0.0) +
         (choice.load.isCold ? ColdPenalty : 0.0);
}

std::size_t ExpectedEndPolicy::pick(std::span<const Candidate> choices,
                                    std::mt19937_64 &random) {
  std::uniform_real_distribution<double> jitter(0, Jitter);
  std::vector<double> scores(choices.size());
  std::ranges::transform(choices, scores.begin(), [&](const Candidate &choice) {
    return expectedEnd(choice) + jitter(random);
  });
  return static_cast<std::size_t>(std::ranges::min_element(scores) -
                                  scores.begin());
}

} // namespace plantainhatch
