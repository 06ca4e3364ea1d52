/** \file
 * A budget for work that the system adds to what callers sent. */
#ifndef PLANTAINHATCH_REQUEST_RETRYBUDGET_H
#define PLANTAINHATCH_REQUEST_RETRYBUDGET_H

#include "base/TokenBucket.h"

#include <algorithm>
#include <cstddef>

namespace plantainhatch {

/** What one node may add to what callers sent. */
struct RetryShare {
  /** What each call pays in. */
  double tokensPerCall = 0.1;
  /** The most that can gather. */
  double capacity = 10;

  /** The share of one of \p nodes where all together may repeat \p ratio of
   * the calls and \p extra besides. Each node pays in for the calls it takes in
   * itself, so the shares sum up without any agreement. Calls that a repeated
   * run makes are repeats as well, for which half of everything is kept back.
   * \pre At most half as many nodes as extra repeats. Pure. */
  static RetryShare forNode(double ratio, double extra, std::size_t nodes) {
    constexpr double KeptBack = 0.5;
    const auto parts = static_cast<double>(std::max<std::size_t>(nodes, 1));
    return {ratio * KeptBack, std::max(1.0, extra * KeptBack / parts)};
  }
};

/** Retries and hedges of one service draw on it. Each call of a caller pays in
 * a share, so the added work stays a fixed part of the work that was asked for,
 * whatever fails. Not thread-safe. */
class RetryBudget {
public:
  static constexpr double TokensPerCall = RetryShare{}.tokensPerCall;
  static constexpr double Capacity = RetryShare{}.capacity;

  RetryBudget() = default;
  explicit RetryBudget(const RetryShare &share)
      : perCall(share.tokensPerCall), tokens(0, share.capacity) {}

  /** Changes the share; what is above the new capacity is lost. */
  void setShare(const RetryShare &share) {
    perCall = share.tokensPerCall;
    tokens.setRateAndCapacity(0, share.capacity);
  }

  /** A caller's call has come. */
  void onCall() { tokens.add(perCall); }
  /** Takes what one more hand-over costs. \return false if it must not happen.
   */
  bool trySpend(TimePoint now) { return tokens.tryTake(1, now); }

private:
  double perCall = TokensPerCall;
  TokenBucket tokens{0, Capacity};
};

} // namespace plantainhatch

#endif
