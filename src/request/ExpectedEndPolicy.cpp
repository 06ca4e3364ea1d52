#include "request/ExpectedEndPolicy.h"

#include <algorithm>
#include <vector>

namespace plantainhatch {

namespace {

double networkPenalty(const Candidate &candidate) {
  if (candidate.isLocalNode)
    return 0;
  return candidate.isLocalDomain ? ExpectedEndPolicy::HopPenalty
                                 : ExpectedEndPolicy::DomainPenalty;
}

/** Expected wait for a slot, in service times. */
double waitInServiceTimes(const Candidate &candidate) {
  if (candidate.load.limit <= 0)
    return 1;
  return std::max(0.0, candidate.load.inFlight + 1 - candidate.load.limit) /
         candidate.load.limit;
}

} // namespace

double ExpectedEndPolicy::expectedEnd(const Candidate &candidate) {
  const double utilization = std::min(candidate.utilization(), 1.0);
  const double multiplier = 1.0 + waitInServiceTimes(candidate) +
                            UtilizationPenalty * utilization * utilization;
  const double excessFailureRate =
      std::max(0.0, candidate.load.failureRate - ToleratedFailureRate);
  return candidate.load.slowdown * multiplier + networkPenalty(candidate) +
         FailurePenalty * excessFailureRate +
         (candidate.isSuspect ? SuspectPenalty : 0.0) +
         (candidate.load.isCold ? ColdPenalty : 0.0);
}

std::size_t ExpectedEndPolicy::pick(std::span<const Candidate> candidates,
                                    std::mt19937_64 &random) {
  std::uniform_real_distribution<double> jitter(0, Jitter);
  std::vector<double> scores(candidates.size());
  std::ranges::transform(candidates, scores.begin(),
                         [&](const Candidate &candidate) {
                           return expectedEnd(candidate) + jitter(random);
                         });
  return static_cast<std::size_t>(std::ranges::min_element(scores) -
                                  scores.begin());
}

} // namespace plantainhatch
