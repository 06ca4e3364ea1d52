#include "request/HotColdPolicy.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace plantainhatch {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds LeastLatency{0.0001};

/** Latencies of targets that were not heard lately say nothing; they count as
 * the median of others, so that each gets a call now and then and shows whether
 * it has recovered. */
bool hasFreshLatency(const Candidate &choice) {
  return choice.load.age < LoadTable::MaxReportAge &&
         choice.load.latency > Duration{};
}

Seconds medianLatency(std::span<const Candidate> choices,
                      const std::vector<std::size_t> &indices) {
  std::vector<Seconds> fresh;
  for (const std::size_t it : indices)
    if (hasFreshLatency(choices[it]))
      fresh.emplace_back(choices[it].load.latency);
  if (fresh.empty())
    return LeastLatency;
  const auto middle =
      fresh.begin() + static_cast<std::ptrdiff_t>((fresh.size() - 1) / 2);
  std::ranges::nth_element(fresh, middle);
  return std::max(*middle, LeastLatency);
}

Seconds hopCost(const Candidate &choice) {
  if (choice.isLocalNode)
    return Seconds{0};
  if (choice.isLocalDomain)
    return HotColdPolicy::HopCost;
  return HotColdPolicy::DomainCost;
}

/** The turns of its slots that a call would wait for there. */
double turnsToWait(const Candidate &choice) {
  if (choice.load.limit <= 0)
    return 1;
  return std::max(0.0, choice.load.inFlight + 1 - choice.load.limit) /
         choice.load.limit;
}

/** Equals count as the median. One that was not heard lately and has a call of
 * this node counts as slow until it answers, so that it is tried with one call
 * and not with many. */
Seconds expectedLatency(const Candidate &choice, Seconds median) {
  const Seconds slow = HotColdPolicy::SlowFactor * median;
  if (!hasFreshLatency(choice))
    return choice.load.inFlight < 1 ? median : slow;
  const Seconds own(choice.load.latency);
  return own > slow ? own : median;
}

/** When a call sent there would end: its latency, after the wait for a slot,
 * and stretched a little by utilization, which spreads calls over equals. */
Seconds expectedEnd(const Candidate &choice, Seconds median) {
  const Seconds latency = expectedLatency(choice, median);
  const double spread = std::min(choice.utilization(), 1.0);
  return latency * (1.0 + spread + turnsToWait(choice)) + hopCost(choice);
}

} // namespace

std::size_t HotColdPolicy::pick(std::span<const Candidate> choices,
                                std::mt19937_64 &random) {
  const Indices healthy =
      excludeFailing(choices, sample(choices, random), random);
  const Seconds median = medianLatency(choices, healthy);
  return std::ranges::min(healthy, {}, [&](std::size_t it) {
    return expectedEnd(choices[it], median);
  });
}

HotColdPolicy::Indices HotColdPolicy::sample(std::span<const Candidate> choices,
                                             std::mt19937_64 &random) {
  Indices all(choices.size());
  std::iota(all.begin(), all.end(), std::size_t{0});
  std::ranges::shuffle(all, random);
  // The own failure domain stays in the sample, or a large service would rarely
  // be served there.
  if (all.size() > MaxSampled) {
    std::ranges::stable_partition(
        all, [&](std::size_t it) { return choices[it].isLocalDomain; });
    all.resize(MaxSampled);
  }
  return all;
}

HotColdPolicy::Indices
HotColdPolicy::excludeFailing(std::span<const Candidate> choices,
                              Indices indices, std::mt19937_64 &random) {
  Indices healthy;
  std::ranges::copy_if(
      indices, std::back_inserter(healthy), [&](std::size_t it) {
        return choices[it].load.failures < MaxConsecutiveFailures &&
               !choices[it].isSuspect;
      });
  const bool isTrickle = std::uniform_int_distribution<unsigned>(
                             0, PicksPerProbe - 1)(random) == 0;
  if (isTrickle || healthy.size() * 2 < indices.size())
    return indices;
  return healthy;
}

} // namespace plantainhatch
