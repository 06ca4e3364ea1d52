/** \file
 * Limits the network traffic for load measurements. */
#ifndef PLANTAINHATCH_PROCESS_MEASUREBUDGET_H
#define PLANTAINHATCH_PROCESS_MEASUREBUDGET_H

#include "base/Time.h"
#include "base/TokenBucket.h"
#include "version/Rule.h"

namespace plantainhatch {

/** A common rate limit in messages and in bytes for all load probes and replies
 * that this node sends. Bursts are limited to a tenth of a second's worth, and
 * at least one message, so that the traffic in any second exceeds the rate by
 * no more than that. Not thread-safe. */
class MeasureBudget {
public:
  /** Sets the rates; 0 stops all measurements. */
  void setRates(const MeasureRule &rule);

  /** Accounts for one message with \p bytes on the wire.
   * \return false if the message exceeds the budget and must not be sent. */
  bool trySpend(std::size_t bytes, TimePoint now);

  /** Messages that exceeded the budget. */
  std::uint64_t refusedCount() const { return refused; }
  /** Messages within the budget. */
  std::uint64_t messageCount() const { return messages; }
  /** Bytes of these messages. */
  std::uint64_t byteCount() const { return bytesSpent; }

private:
  TokenBucket messageTokens{0, 0};
  TokenBucket byteTokens{0, 0};
  std::uint64_t refused = 0;
  std::uint64_t messages = 0;
  std::uint64_t bytesSpent = 0;
};

} // namespace plantainhatch

#endif
