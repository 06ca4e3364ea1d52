/** \file
 * A budget for work that the system adds to what callers sent. */
#ifndef PLANTAINHATCH_REQUEST_RETRYBUDGET_H
#define PLANTAINHATCH_REQUEST_RETRYBUDGET_H

#include "base/TokenBucket.h"

namespace plantainhatch {

/** Retries and hedges of one service draw on it. Each call of a caller pays in
 * a share, so the added work stays a fixed part of the work that was asked for,
 * whatever fails. Not thread-safe. */
class RetryBudget {
public:
  static constexpr double TokensPerCall = 0.1;
  static constexpr double Capacity = 10;

  RetryBudget() = default;
  /** \param perCall what each call pays in. \param capacity the most that can
   * gather. */
  RetryBudget(double perCall, double capacity)
      : perCall(perCall), tokens(0, capacity) {}

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
