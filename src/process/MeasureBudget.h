/** \file
 * What this VM may spend on measuring load. */
#ifndef PLANTAINHATCH_PROCESS_MEASUREBUDGET_H
#define PLANTAINHATCH_PROCESS_MEASUREBUDGET_H

#include "base/Time.h"
#include "base/TokenBucket.h"
#include "version/Rule.h"

namespace plantainhatch {

/** One budget in messages and bytes for all probes that this node sends and
 * answers. A burst of at most a tenth of a second's budget may go out at once,
 * so that no second in a row exceeds the rate by more than that. Not
 * thread-safe. */
class MeasureBudget {
public:
  /** Takes the rates of \p rule. */
  void setRates(const MeasureRule &rule);

  /** Books one message of \p bytes on the wire. \return false if it must not be
   * sent. */
  bool trySpend(std::size_t bytes, TimePoint now);

  /** Messages refused for want of budget. */
  std::uint64_t refusedCount() const { return refused; }
  /** Messages booked. */
  std::uint64_t messageCount() const { return messages; }
  /** Bytes booked. */
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
