/** \file
 * Picks the target where a call is expected to end first. */
#ifndef PLANTAINHATCH_REQUEST_EXPECTEDENDPOLICY_H
#define PLANTAINHATCH_REQUEST_EXPECTEDENDPOLICY_H

#include "request/Candidate.h"

#include <random>
#include <span>

namespace plantainhatch {

/** For targets that tell how slow they are at the moment. The expected end is
 * counted in usual service times: the slowdown, stretched by the wait for a
 * slot and by utilization, and a charge for the way there. What is not known
 * for certain (a suspect node, failures in a row) is charged, and not ruled
 * out. Reads no clock. */
class ExpectedEndPolicy {
public:
  /** The charge for another VM of the own failure domain. */
  static constexpr double HopPenalty = 0.03;
  /** The charge for another failure domain, where bytes have a price. */
  static constexpr double DomainPenalty = 0.15;
  /** The charge for a target whose calls all fail. */
  static constexpr double FailurePenalty = 12.0;
  /** Rates below this come with any target. */
  static constexpr double ToleratedFailureRate = 0.1;
  /** The charge for a node that is suspected to be gone. */
  static constexpr double SuspectPenalty = 8.0;
  /** The charge for a cold target. */
  static constexpr double ColdPenalty = 1.0;
  /** What a target that is about full adds to the service time. */
  static constexpr double UtilizationPenalty = 0.5;
  /** Choices closer than this count as equal. */
  static constexpr double Jitter = 0.08;

  /** \pre The span is not empty. */
  std::size_t pick(std::span<const Candidate> choices, std::mt19937_64 &random);

  /** The expected end in usual service times, with all charges. Pure. */
  static double expectedEnd(const Candidate &choice);
};

} // namespace plantainhatch

#endif
