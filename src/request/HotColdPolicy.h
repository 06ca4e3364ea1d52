/** \file
 * The policy in use: requests in flight and latency, with a split into hot and
 * cold targets. */
#ifndef PLANTAINHATCH_REQUEST_HOTCOLDPOLICY_H
#define PLANTAINHATCH_REQUEST_HOTCOLDPOLICY_H

#include "request/Choice.h"

#include <random>
#include <span>
#include <vector>

namespace plantainhatch {

/** Among targets that have room, picks the one where a call is expected to end
 * first; where none has room, the one with the smallest utilization. Targets of
 * the own failure domain go first while one of them has room. Targets that
 * failed several times in a row are left out, unless so many did that leaving
 * them out would press all load on the rest. After Prequal (NSDI 2024). */
class HotColdPolicy {
public:
  /** A target above this share of its limit is hot. */
  static constexpr double HotUtilization = 0.8;
  /** Failures in a row after which a target is left out. */
  static constexpr unsigned MaxFailures = 2;
  /** One pick in this many also considers targets that are left out, to see
   * them recover. */
  static constexpr unsigned TrickleEvery = 64;
  /** More choices than this are sampled. */
  static constexpr std::size_t MaxCompared = 16;
  /** What a hop to another node costs. */
  static constexpr std::chrono::microseconds HopCost{250};
  /** What crossing to another failure domain costs there and back. */
  static constexpr std::chrono::microseconds DomainCost{2'000};

  /** \pre \p choices is not empty. */
  std::size_t pick(std::span<const Choice> choices, std::mt19937_64 &random);

private:
  /** Indices into the choices. */
  using Indices = std::vector<std::size_t>;

  static Indices sample(std::span<const Choice> choices,
                        std::mt19937_64 &random);
  static Indices withoutFailing(std::span<const Choice> choices,
                                Indices indices, std::mt19937_64 &random);
  static Indices withRoom(std::span<const Choice> choices,
                          const Indices &indices);
  static std::size_t fastest(std::span<const Choice> choices,
                             const Indices &indices);
  static std::size_t leastUtilized(std::span<const Choice> choices,
                                   const Indices &indices);
};

} // namespace plantainhatch

#endif
