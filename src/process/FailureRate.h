/** \file
 * The share of a target's calls that fail. */
#ifndef PLANTAINHATCH_PROCESS_FAILURERATE_H
#define PLANTAINHATCH_PROCESS_FAILURERATE_H

#include "base/Time.h"

#include <cmath>

namespace plantainhatch {

/** An average over the last calls that fades with time, so that a target that
 * is avoided for its failures is tried again. Not thread-safe. */
class FailureRate {
public:
  /** The weight of one call, as 1/N. */
  static constexpr double WindowCalls = 8;
  static constexpr std::chrono::duration<double> HalfLife{1.5};

  void onCallEnded(bool failed, TimePoint now) {
    const double before = at(now);
    rate = before + ((failed ? 1.0 : 0.0) - before) / WindowCalls;
    updatedAt = now;
  }

  /** Between 0 and 1. */
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
