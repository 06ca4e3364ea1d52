#include "request/HotColdPolicy.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace plantainhatch {

namespace {

using Seconds = std::chrono::duration<double>;

/** Lower bound of the median, so that the expected times never become zero. */
constexpr Seconds MinLatency{0.0001};

/** False if no latency is known or its report is too old. Such a target is
 * taken to have the median latency, so that it still gets a call now and then,
 * which shows whether it has recovered. */
bool hasFreshLatency(const Candidate &candidate) {
  return candidate.load.age < LoadTable::MaxReportAge &&
         candidate.load.latency > Duration{};
}

Seconds medianLatency(std::span<const Candidate> candidates,
                      const std::vector<std::size_t> &indices) {
  std::vector<Seconds> fresh;
  for (const std::size_t it : indices)
    if (hasFreshLatency(candidates[it]))
      fresh.emplace_back(candidates[it].load.latency);
  if (fresh.empty())
    return MinLatency;
  const auto middle =
      fresh.begin() + static_cast<std::ptrdiff_t>((fresh.size() - 1) / 2);
  std::ranges::nth_element(fresh, middle);
  return std::max(*middle, MinLatency);
}

Seconds hopCost(const Candidate &candidate) {
  if (candidate.isLocalNode)
    return Seconds{0};
  if (candidate.isLocalDomain)
    return HotColdPolicy::HopCost;
  return HotColdPolicy::DomainCost;
}

/** Expected wait for a slot, in service times. */
double waitInServiceTimes(const Candidate &candidate) {
  if (candidate.load.limit <= 0)
    return 1;
  return std::max(0.0, candidate.load.inFlight + 1 - candidate.load.limit) /
         candidate.load.limit;
}

/** The median, unless the target is slow. A target without a fresh latency that
 * already has a call in flight is taken to be slow until it answers, so that it
 * is probed with one call at a time. */
Seconds expectedLatency(const Candidate &candidate, Seconds median) {
  const Seconds slow = HotColdPolicy::SlowFactor * median;
  if (!hasFreshLatency(candidate))
    return candidate.load.inFlight < 1 ? median : slow;
  const Seconds own(candidate.load.latency);
  return own > slow ? own : median;
}

/** Expected completion time of a call: the latency, multiplied by a factor for
 * the wait for a slot and for utilization, plus the hop. The utilization
 * spreads calls over targets with equal latency. */
Seconds expectedEnd(const Candidate &candidate, Seconds median) {
  const Seconds latency = expectedLatency(candidate, median);
  const double cappedUtilization = std::min(candidate.utilization(), 1.0);
  return latency * (1.0 + cappedUtilization + waitInServiceTimes(candidate)) +
         hopCost(candidate);
}

} // namespace

std::size_t HotColdPolicy::pick(std::span<const Candidate> candidates,
                                std::mt19937_64 &random) {
  const Indices healthy =
      excludeFailing(candidates, sample(candidates, random), random);
  const Seconds median = medianLatency(candidates, healthy);
  return std::ranges::min(healthy, {}, [&](std::size_t it) {
    return expectedEnd(candidates[it], median);
  });
}

HotColdPolicy::Indices
HotColdPolicy::sample(std::span<const Candidate> candidates,
                      std::mt19937_64 &random) {
  Indices all(candidates.size());
  std::iota(all.begin(), all.end(), std::size_t{0});
  std::ranges::shuffle(all, random);
  // Prefer the local failure domain in the sample; otherwise calls of a large
  // service would rarely stay in it.
  if (all.size() > MaxSampled) {
    std::ranges::stable_partition(
        all, [&](std::size_t it) { return candidates[it].isLocalDomain; });
    all.resize(MaxSampled);
  }
  return all;
}

HotColdPolicy::Indices
HotColdPolicy::excludeFailing(std::span<const Candidate> candidates,
                              Indices indices, std::mt19937_64 &random) {
  Indices healthy;
  std::ranges::copy_if(
      indices, std::back_inserter(healthy), [&](std::size_t it) {
        return candidates[it].load.failures < MaxConsecutiveFailures &&
               !candidates[it].isSuspect;
      });
  const bool isProbe = std::uniform_int_distribution<unsigned>(
                           0, PicksPerProbe - 1)(random) == 0;
  if (isProbe || healthy.size() * 2 < indices.size())
    return indices;
  return healthy;
}

} // namespace plantainhatch
