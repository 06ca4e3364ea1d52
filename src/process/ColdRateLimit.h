/** \file
 * Rate limit for the calls to a cold target. */
#ifndef PLANTAINHATCH_PROCESS_COLDRATELIMIT_H
#define PLANTAINHATCH_PROCESS_COLDRATELIMIT_H

#include <algorithm>

namespace plantainhatch {

/** Parameters of a token bucket. Any window of one second admits at most the
 * rate plus the burst. */
struct ColdRateLimit {
  double callsPerSecond = 0;
  /** Calls that may be admitted at once, that is the capacity of the bucket. */
  double burst = 1;

  static constexpr double MaxBurst = 2;

  /** The rate limit for a cold target. At most announced * overage + slack
   * calls, but at least one, are allowed in any second; half of the overage is
   * kept as a margin.
   * \param announced calls per second that the target can take while cold.
   * \param overage factor by which that rate may be exceeded; at least 1.
   * \param slack calls per second that may come on top; not negative. */
  static ColdRateLimit forAnnouncedRate(double announced, double overage,
                                        double slack) {
    const double allowed = announced * overage + slack;
    const double withMargin = announced * (1 + (overage - 1) / 2);
    // The burst is at least one call. With less than two calls per second,
    // subtracting it would leave little or nothing for the rate.
    const double rate =
        allowed < 2 ? allowed / 2 : std::min(withMargin, allowed - 1);
    return {rate, std::clamp((allowed - rate) / 2, 1.0, MaxBurst)};
  }
};

} // namespace plantainhatch

#endif
