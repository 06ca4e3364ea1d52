/** \file
 * Decaying failure rate of the calls to one target. */
#ifndef PLANTAINHATCH_PROCESS_FAILURERATE_H
#define PLANTAINHATCH_PROCESS_FAILURERATE_H

#include "base/Time.h"

#include <cmath>

namespace plantainhatch {

/** Exponentially weighted moving average of the results of calls (1 for a
 * failure, 0 otherwise) that also decays with time, so that a target that is
 * avoided because of its failures is tried again. Not thread-safe. */
class FailureRate {
public:
  /** The weight of one call in the average is the inverse of this number. */
  static constexpr double WindowCalls = 8;
  /** Half-life of the rate while no call ends, in seconds. */
  static constexpr std::chrono::duration<double> HalfLife{1.5};

  void onCallEnded(bool failed, TimePoint now) {
    const double before = at(now);
    rate = before + ((failed ? 1.0 : 0.0) - before) / WindowCalls;
    updatedAt = now;
  }

  /** The failure rate at \p now, between 0 and 1. */
  double at(TimePoint now) const {
    const std::chrono::duration<double> age = now - updatedAt;
    return rate * std::exp2(-age / HalfLife);
  }

private:
  double rate = 0;
  TimePoint updatedAt;
};

} // namespace plantainhatch

#endif
