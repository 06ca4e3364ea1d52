/** \file
 * To which keeper a node has given its part of the teams' quotas. */
#ifndef PLANTAINHATCH_PROCESS_QUOTAPLEDGE_H
#define PLANTAINHATCH_PROCESS_QUOTAPLEDGE_H

#include "base/Address.h"
#include "base/Time.h"

#include <chrono>
#include <cstddef>
#include <map>

namespace plantainhatch {

/** Times on which the bound of the quotas rests. A node counts from when it has
 * answered, a keeper from when it has asked, so that the keeper's time always
 * ends first, however long the messages took. */
namespace quotaTimes {

/** How long a keeper counts a pledge, from its question on. */
inline constexpr std::chrono::milliseconds Pledge{800};
/** How long a node may use tokens, from its question on. */
inline constexpr std::chrono::milliseconds Token{150};
/** How long a node gives its part to no other keeper, from its answer on:
 * until the keeper counts it no more and tokens that rest on it have ended. */
inline constexpr std::chrono::milliseconds Promise = Pledge + Token;

} // namespace quotaTimes

/** One node's part of the quotas of one group of teams. It is given to one
 * keeper at a time, so that the parts of all keepers together are no more than
 * the whole, whatever nodes believe about who keeps. Time is an argument. Not
 * thread-safe. */
class QuotaPledge {
public:
  /** \param startedAt the start of the process, which does not know what it
   * promised before. */
  explicit QuotaPledge(TimePoint startedAt)
      : promisedUntil(startedAt + quotaTimes::Promise) {}

  /** \p keeper asks for the part. \return true if it is given now. */
  bool give(const Address &keeper, TimePoint now);

  /** The keeper that has the part; empty if none has. */
  Address keeper(TimePoint now) const {
    return now < promisedUntil ? promisedTo : Address{};
  }

private:
  Address promisedTo;
  TimePoint promisedUntil;
};

/** The number of nodes among which the quotas are divided. A node that is not
 * seen any more may be cut off and go on with its part, so it counts for
 * MemoryTime, unless it has left. Not thread-safe. */
class QuotaParts {
public:
  static constexpr std::chrono::minutes MemoryTime{10};

  /** The node at \p address is, or may be, part of the fleet. */
  void onSeen(const Address &address, TimePoint now) { seenAt[address] = now; }
  /** The node at \p address was part of the fleet. */
  void onKnown(const Address &address, TimePoint now) {
    seenAt.try_emplace(address, now);
  }
  /** The node at \p address has left for good. */
  void onLeft(const Address &address) { seenAt.erase(address); }
  /** Nodes to count, this one included. \pre onSeen() was called for it. */
  std::size_t count(TimePoint now);

private:
  std::map<Address, TimePoint> seenAt;
};

} // namespace plantainhatch

#endif
