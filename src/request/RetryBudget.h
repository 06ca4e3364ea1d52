/** \file
 * Budget for the retries and hedged attempts that the system adds to the
 * callers' calls. */
#ifndef PLANTAINHATCH_REQUEST_RETRYBUDGET_H
#define PLANTAINHATCH_REQUEST_RETRYBUDGET_H

#include "base/TokenBucket.h"

#include <algorithm>
#include <cstddef>

namespace plantainhatch {

/** One node's share of the fleet's retry budget. Amounts are in tokens; an
 * additional attempt costs one token. */
struct RetryShare {
  /** Credit for each call of a caller. */
  double tokensPerCall = 0.1;
  /** Maximum number of tokens that can accumulate. */
  double capacity = 10;

  /** One node's share in a fleet of \p nodes nodes that may add \p ratio
   * attempts per call plus \p extra attempts in total. Each node credits only
   * the calls that it receives from callers, so the shares add up without
   * coordination. Calls that a repeated run makes are charged to these shares
   * too. Half of the extra attempts is reserved for nodes that start anew with
   * a full share, and a fifth of the others for calls of repeated runs that
   * their node does not recognize. A share below one
   * token would permit nothing; in a fleet of that size some of the nodes, and
   * no more than the budget has tokens, hold a whole one, and the others never
   * repeat. Pure. \param position the node's place among all, at least 0 and
   * below 1; the nodes with the lowest ones hold a token. */
  static RetryShare forNode(double ratio, double extra, std::size_t nodes,
                            double position = 0) {
    constexpr double PartPerCall = 0.8;
    constexpr double PartOfExtra = 0.5;
    const auto shares = static_cast<double>(std::max<std::size_t>(nodes, 1));
    const double share = extra * PartOfExtra / shares;
    if (share >= 1)
      return {ratio * PartPerCall, share};
    return {ratio * PartPerCall, position < share ? 1.0 : 0.0};
  }
};

/** Retry budget of one service, shared by its retries and hedged attempts. It
 * starts full, and each call of a caller adds a fraction of a token. This
 * bounds the added attempts to the capacity plus a fixed fraction of the calls,
 * whatever fails. Not thread-safe. */
class RetryBudget {
public:
  static constexpr double TokensPerCall = RetryShare{}.tokensPerCall;
  static constexpr double Capacity = RetryShare{}.capacity;

  RetryBudget() = default;
  explicit RetryBudget(const RetryShare &share)
      : perCall(share.tokensPerCall), tokens(0, share.capacity) {}

  /** Changes the share; tokens above the new capacity are dropped. */
  void setShare(const RetryShare &share) {
    perCall = share.tokensPerCall;
    tokens.setRateAndCapacity(0, share.capacity);
  }

  /** Credits one call of a caller. */
  void onCall() { tokens.add(perCall); }
  /** Takes the token for one additional attempt. \return false if the budget is
   * exhausted and the attempt must not be made. */
  bool trySpend(TimePoint now) { return tokens.tryTake(1, now); }
  /** Takes the tokens for \p n attempts that have been made already. */
  void charge(double n, TimePoint now) { tokens.takeOwing(n, now); }
  /** True if more attempts were charged than the budget allows. */
  bool isOwing(TimePoint now) { return tokens.available(now) < 0; }

private:
  double perCall = TokensPerCall;
  TokenBucket tokens{0, Capacity};
};

} // namespace plantainhatch

#endif
