/** \file
 * Queue of the membership updates that are piggybacked on datagrams. */
#ifndef PLANTAINHATCH_PROCESS_GOSSIPQUEUE_H
#define PLANTAINHATCH_PROCESS_GOSSIPQUEUE_H

#include "base/Address.h"

#include <map>
#include <set>
#include <vector>

namespace plantainhatch {

/** Members whose records are to be gossiped. Each is sent a number of times
 * that grows with the logarithm of the fleet size, those sent least often
 * first, so that an update reaches all members with high probability. Not
 * thread-safe. */
class GossipQueue {
public:
  /** Adds \p member, or resets its transmit count if it is queued already. */
  void enqueue(const Address &member);

  /** Calls \p take with the members in sending order until it returns false.
   * Each member for which it returned true counts as sent once more, and is
   * removed after transmitLimit() transmissions.
   * \pre \p take does not modify this queue. */
  template <typename Take> void drain(std::size_t fleetSize, Take take);

  bool isEmpty() const { return sendOrder.empty(); }
  std::size_t size() const { return sendOrder.size(); }

  /** Number of times that one update is sent in a fleet of this size. */
  static unsigned transmitLimit(std::size_t fleetSize);

private:
  /** Transmit count and member. */
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
