/** \file
 * Pick policy "hot-cold", the default: picks by the expected completion time,
 * which is estimated from latency and calls in flight. */
#ifndef PLANTAINHATCH_REQUEST_HOTCOLDPOLICY_H
#define PLANTAINHATCH_REQUEST_HOTCOLDPOLICY_H

#include "request/Candidate.h"

#include <random>
#include <span>
#include <vector>

namespace plantainhatch {

/** Picks the target with the shortest expected completion time: the latency
 * reported by its gate, the wait for a slot, and the cost of the hop, so that
 * the local VM and failure domain are preferred while they have capacity. A
 * fast target at its limit may be preferred to a slow one that is idle. Targets
 * with several consecutive failures and suspect targets are excluded, unless
 * they are so many that the remaining targets would be overloaded. Based on
 * Prequal (NSDI 2024), but without its threshold on requests in flight, which
 * splits targets into hot and cold: the gates' counts are exact here. */
class HotColdPolicy {
public:
  /** Consecutive failures after which a target is excluded. */
  static constexpr unsigned MaxConsecutiveFailures = 2;
  /** On average one pick in this many also considers excluded targets, so that
   * their recovery is noticed. */
  static constexpr unsigned PicksPerProbe = 64;
  /** Maximum number of targets compared; more than these are sampled. */
  static constexpr std::size_t MaxSampled = 16;
  /** A target is slow if its latency exceeds the median times this factor. The
   * others are taken to have the median latency, so that noise does not send
   * the calls of all nodes to the same target. */
  static constexpr double SlowFactor = 1.4;
  /** Latency added by a hop to another node of the same failure domain. */
  static constexpr std::chrono::microseconds HopCost{250};
  /** Latency added by the round trip to another failure domain. */
  static constexpr std::chrono::microseconds DomainCost{2'000};

  /** The index of the picked target. \pre \p candidates is not empty. */
  std::size_t pick(std::span<const Candidate> candidates,
                   std::mt19937_64 &random);

private:
  /** Indices into the candidates of pick(). */
  using Indices = std::vector<std::size_t>;

  /** Up to MaxSampled random indices, those of the local failure domain
   * preferred. */
  static Indices sample(std::span<const Candidate> candidates,
                        std::mt19937_64 &random);
  /** \p indices without those of failing and suspect targets, or all of them if
   * too many are excluded or this pick includes excluded targets. */
  static Indices excludeFailing(std::span<const Candidate> candidates,
                                Indices indices, std::mt19937_64 &random);
};

} // namespace plantainhatch

#endif
