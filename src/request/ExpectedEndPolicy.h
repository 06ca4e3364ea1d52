/** \file
 * Pick policy "expected-end": the shortest expected completion time, with
 * penalties. */
#ifndef PLANTAINHATCH_REQUEST_EXPECTEDENDPOLICY_H
#define PLANTAINHATCH_REQUEST_EXPECTEDENDPOLICY_H

#include "request/Candidate.h"

#include <random>
#include <span>

namespace plantainhatch {

/** For targets that report their slowdown. A target's score is its expected
 * completion time in units of the usual service time: the slowdown, multiplied
 * by a factor for the wait for a slot and for utilization, plus penalties for
 * the network hop and for risks. A suspect node or a high failure rate adds a
 * penalty and does not exclude the target, because neither is certain. Reads no
 * clock. */
class ExpectedEndPolicy {
public:
  /** Penalty for another VM in the same failure domain. */
  static constexpr double HopPenalty = 0.03;
  /** Penalty for another failure domain, where traffic is billed. */
  static constexpr double DomainPenalty = 0.15;
  /** Penalty per unit of failure rate above ToleratedFailureRate. */
  static constexpr double FailurePenalty = 12.0;
  /** Failure rate that occurs with any target and is not penalized. */
  static constexpr double ToleratedFailureRate = 0.1;
  /** Penalty for a node that is suspected to have failed. */
  static constexpr double SuspectPenalty = 8.0;
  /** Penalty for a cold target. */
  static constexpr double ColdPenalty = 1.0;
  /** Added to the multiplier of the service time at full utilization; grows
   * with its square. */
  static constexpr double UtilizationPenalty = 0.5;
  /** Upper bound of the random value added to each score, so that calls are
   * spread over targets whose scores differ by less. */
  static constexpr double Jitter = 0.08;

  /** The index of the target with the lowest score. \pre \p candidates is not
   * empty. */
  std::size_t pick(std::span<const Candidate> candidates,
                   std::mt19937_64 &random);

  /** The score of \p candidate without the random value. Pure. */
  static double expectedEnd(const Candidate &candidate);
};

} // namespace plantainhatch

#endif
