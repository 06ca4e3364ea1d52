/** \file
 * The row in the store that says how far a roll-out is. */
#ifndef PLANTAINHATCH_NODE_ROLLOUTROW_H
#define PLANTAINHATCH_NODE_ROLLOUTROW_H

#include "node/NodeServices.h"
#include "process/RolloutStatus.h"
#include "version/Rule.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace plantainhatch {

/** Reads and writes the row for one order. It is written only in place of what
 * was read, and never once it says that the order is over, so that several
 * nodes may try. Requests in progress hold a reference. Main loop only. */
class RolloutRow
    : public boost::intrusive_ref_counter<RolloutRow,
                                          boost::thread_unsafe_counter> {
public:
  /** \pre \p services outlives this object. */
  RolloutRow(NodeServices &services, RolloutStatusFormat format,
             RolloutRule rule)
      : services(services), format(std::move(format)), rule(std::move(rule)) {}

  /** Reads the row, or writes \p wanted if that is more than what the row says.
   * Does nothing while a request is in progress or if there is nothing to do.
   * Call again later, also after a failure. */
  void synchronize(RolloutPhase wanted);

  /** What the store has acknowledged for this order; Unknown if that is nothing
   * or not known. */
  RolloutPhase phase() const { return acknowledged; }

private:
  NodeServices &services;
  const RolloutStatusFormat format;
  const RolloutRule rule;
  RolloutPhase acknowledged = RolloutPhase::Unknown;
  /** Nothing if the row is absent. */
  std::optional<std::string> etag;
  bool isRead = false;
  bool isBusy = false;
  /** The row is about a later order. */
  bool isSuperseded = false;

  std::string key() const { return format.keyPrefix + rule.service; }
  void read();
  void onRead(const RowResult &result);
  void write(RolloutPhase wanted);
  void onWritten(RolloutPhase wanted, const TransactionResult &result);
};

using RolloutRowPtr = boost::intrusive_ptr<RolloutRow>;

} // namespace plantainhatch

#endif
