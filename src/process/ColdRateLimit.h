/** \file
 * What a cold target may be handed, from what the operators allow. */
#ifndef PLANTAINHATCH_PROCESS_COLDRATELIMIT_H
#define PLANTAINHATCH_PROCESS_COLDRATELIMIT_H

#include <algorithm>

namespace plantainhatch {

/** A rate and a burst. Together they stay within what is allowed in any second,
 * as no second holds more than both. */
struct ColdRateLimit {
  double callsPerSecond = 0;
  /** Calls that may come at once after a quiet second. */
  double burst = 1;

  static constexpr double MaxBurst = 2;

  /** \param announced is the rate that the target bears. \param overage and
   * \param slack allow announced * overage + slack in any second. Half of the
   * overage is left as a margin. Pure. */
  static ColdRateLimit forAnnouncedRate(double announced, double overage,
                                        double slack) {
    const double allowed = announced * overage + slack;
    const double wanted = announced * (1 + (overage - 1) / 2);
    // Less than two in a second leave no room for a burst beside the rate.
    const double rate =
        allowed < 2 ? allowed / 2 : std::min(wanted, allowed - 1);
    return {rate, std::clamp((allowed - rate) / 2, 1.0, MaxBurst)};
  }
};

} // namespace plantainhatch

#endif
