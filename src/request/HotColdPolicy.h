/** \file
 * The policy in use: requests in flight and latency, with a split into hot and
 * cold targets. */
#ifndef PLANTAINHATCH_REQUEST_HOTCOLDPOLICY_H
#define PLANTAINHATCH_REQUEST_HOTCOLDPOLICY_H

#include "request/Candidate.h"

#include <random>
#include <span>
#include <vector>

namespace plantainhatch {

/** Picks the target where a call is expected to end first: latency as its gate
 * knows it, the wait for a slot, and the cost of the hop, which puts the own VM
 * and failure domain first while they have room. A full target that is fast
 * goes before an idle one that is slow. Targets that failed several times in a
 * row are left out, unless so many did that leaving them out would press all
 * load on the rest. After Prequal (NSDI 2024), without its limit on requests in
 * flight: the gates' counts are exact here. */
class HotColdPolicy {
public:
  /** Failures in a row after which a target is left out. */
  static constexpr unsigned MaxConsecutiveFailures = 2;
  /** One pick in this many also considers targets that are left out, to see
   * them recover. */
  static constexpr unsigned PicksPerProbe = 64;
  /** More choices than this are sampled. */
  static constexpr std::size_t MaxSampled = 16;
  /** A target that takes this many times as long as the median one is slow.
   * Those that are not count as equals, so that noise in their latencies does
   * not send every node's calls to the same one. */
  static constexpr double SlowFactor = 1.4;
  /** What a hop to another node costs. */
  static constexpr std::chrono::microseconds HopCost{250};
  /** What crossing to another failure domain costs there and back. */
  static constexpr std::chrono::microseconds DomainCost{2'000};

  /** \pre \p choices is not empty. */
  std::size_t pick(std::span<const Candidate> choices, std::mt19937_64 &random);

private:
  /** Indices into the choices. */
  using Indices = std::vector<std::size_t>;

  static Indices sample(std::span<const Candidate> choices,
                        std::mt19937_64 &random);
  static Indices excludeFailing(std::span<const Candidate> choices,
                                Indices indices, std::mt19937_64 &random);
};

} // namespace plantainhatch

#endif
