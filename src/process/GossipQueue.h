/** \file
 * Decides which membership updates ride on the next datagram. */
#ifndef PLANTAINHATCH_PROCESS_GOSSIPQUEUE_H
#define PLANTAINHATCH_PROCESS_GOSSIPQUEUE_H

#include "base/Address.h"

#include <map>
#include <set>
#include <vector>

namespace plantainhatch {

/** A queue of members with news. Each is sent a number of times that grows with
 * the logarithm of the fleet, the least sent first, so news reaches all with
 * high probability. Not thread-safe. */
class GossipQueue {
public:
  /** Starts over for \p member. */
  void enqueue(const Address &member);

  /** Visits members in sending order while \p take returns true. A visited
   * member counts as sent and leaves the queue after transmitLimit() of them.
   */
  template <typename Take> void drain(std::size_t fleetSize, Take take);

  bool isEmpty() const { return sendOrder.empty(); }
  std::size_t size() const { return sendOrder.size(); }

  /** How often one update is sent in a fleet of this size. */
  static unsigned transmitLimit(std::size_t fleetSize);

private:
  /** The number of times sent, and the member. */
  using Entry = std::pair<unsigned, Address>;

  std::map<Address, unsigned> sentCounts;
  std::set<Entry> sendOrder;

  void markSent(const Entry &entry, unsigned limit);
};

template <typename Take>
void GossipQueue::drain(std::size_t fleetSize, Take take) {
  std::vector<Entry> sent;
  for (const Entry &entry : sendOrder) {
    if (!take(entry.second))
      break;
    sent.push_back(entry);
  }
  const unsigned limit = transmitLimit(fleetSize);
  for (const Entry &entry : sent)
    markSent(entry, limit);
}

} // namespace plantainhatch

#endif
