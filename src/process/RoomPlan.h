/** \file
 * The order of waiting calls where there is too little room for all. */
#ifndef PLANTAINHATCH_PROCESS_ROOMPLAN_H
#define PLANTAINHATCH_PROCESS_ROOMPLAN_H

#include "base/Time.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace plantainhatch {

/** A call that waits for a slot of the local target. */
struct WaitingCall {
  /** The callers that share one part of the room. */
  std::string group;
  /** 0 is the most urgent. */
  unsigned priority = 0;
  /** True if a target makes the call during a run, whose work is lost too if
   * the call is not served. */
  bool isNested = false;
  /** An answer is worth most until then. */
  TimePoint dueAt;
  /** An answer is worth nothing from then on. */
  TimePoint deadline;
  /** Expected time at the target, and the time that it takes at least. */
  Duration work{};
  Duration leastWork{};
  /** Work of the group's calls that started lately. */
  Duration groupHasUsed{};
};

/** What there is for the calls that wait. */
struct Room {
  TimePoint now;
  /** Slots of the target; at least 1. */
  unsigned slots = 1;
  /** Until the first call in the order starts. */
  Duration firstStart{};
  /** The shortest time between two starts, if their rate is limited. */
  Duration leastSpacing{};
  /** Calls that may wait. */
  std::size_t capacity = 0;
};

/** The result of planRoom(). Calls are named by their place in its argument. */
struct RoomPlan {
  /** In this order the calls are to start. */
  std::vector<std::size_t> order;
  /** Cannot be answered before their deadlines. */
  std::vector<std::size_t> tooLate;
  /** There is no room for them. */
  std::vector<std::size_t> noRoom;
};

/** Orders calls so that as few as possible of those that cost callers most are
 * answered after they are due. Groups share the target's time by weights that
 * follow from their priorities; the group that is furthest behind its share
 * goes first, so that none starves. Within that, a call starts before others
 * only if it would be late behind them, and if they stay in time. A call that
 * cannot be in time is late, and one that cannot be answered before its
 * deadline is not to wait at all. Pure.
 * \param calls in the order of their arrival. */
RoomPlan planRoom(std::span<const WaitingCall> calls, const Room &room);

} // namespace plantainhatch

#endif
