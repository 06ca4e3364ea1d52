#include "process/GossipQueue.h"

#include <bit>

namespace plantainhatch {

namespace {

/** Transmissions of an update per bit of the fleet size. */
constexpr unsigned TransmitFactor = 3;

} // namespace

void GossipQueue::enqueue(const Address &member) {
  const auto it = sentCounts.find(member);
  if (it != sentCounts.end())
    sendOrder.erase({it->second, member});
  sentCounts[member] = 0;
  sendOrder.emplace(0U, member);
}

unsigned GossipQueue::transmitLimit(std::size_t fleetSize) {
  return TransmitFactor * static_cast<unsigned>(std::bit_width(fleetSize));
}

void GossipQueue::markSent(const Entry &entry, unsigned limit) {
  sendOrder.erase(entry);
  const unsigned count = entry.first + 1;
  if (count >= limit) {
    sentCounts.erase(entry.second);
    return;
  }
  sentCounts[entry.second] = count;
  sendOrder.emplace(count, entry.second);
}

} // namespace plantainhatch
