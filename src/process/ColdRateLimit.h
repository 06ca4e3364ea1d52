/** \file
 * Rate limit for the calls to a cold target. */
#ifndef PLANTAINHATCH_PROCESS_COLDRATELIMIT_H
#define PLANTAINHATCH_PROCESS_COLDRATELIMIT_H

#include <algorithm>
#include <cstddef>
#include <limits>

namespace plantainhatch {

/** Parameters of the limit: a token bucket, which spaces the calls, and a count
 * of the calls in any second, which includes those from before the target was
 * known to be cold. */
struct ColdRateLimit {
  double callsPerSecond = 0;
  /** Calls that may be admitted at once, that is the capacity of the bucket. */
  double burst = 1;
  /** The most calls in any second. */
  std::size_t mostInASecond = std::numeric_limits<std::size_t>::max();

  static constexpr double MaxBurst = 2;
  /** The burst is at most this fraction of the calls of a second. */
  static constexpr double BurstShare = 0.125;
  /** The rate is at most this fraction of the allowance. A node that has just
   * started does not know what its predecessor admitted in the same second. */
  static constexpr double UsableShare = 0.9;

  /** The rate limit for a cold target. At most announced * overage + slack
   * calls, but at least one, are allowed in any second.
   * \param announced calls per second that the target can take while cold.
   * \param overage factor by which that rate may be exceeded; at least 1.
   * \param slack calls per second that may come on top; not negative. */
  static ColdRateLimit forAnnouncedRate(double announced, double overage,
                                        double slack) {
    const double allowed = announced * overage + slack;
    const auto most =
        std::max<std::size_t>(1, static_cast<std::size_t>(allowed));
    // The burst is at least one call. With less than two calls per second,
    // subtracting it would leave little or nothing for the rate.
    if (allowed < 2)
      return {allowed / 2, 1, most};
    const double burst = std::clamp(allowed * BurstShare, 1.0, MaxBurst);
    const double rate = std::min(allowed * UsableShare, allowed - burst);
    return {rate, burst, most};
  }
};

} // namespace plantainhatch

#endif
