#include "process/RoomPlan.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <numeric>

namespace plantainhatch {

namespace {

using Seconds = std::chrono::duration<double>;

/** A group has this many times the weight of one of the next priority. */
constexpr double WeightStep = 4;
constexpr unsigned LeastPriority = 8;
/** The run that a nested call belongs to is lost with it. */
constexpr double NestedWeight = 2;
/** Places that are tried for a call, so that a long queue costs little. */
constexpr std::size_t MaxPlaces = 32;

double weightOf(const WaitingCall &call) {
  const unsigned priority = std::min(call.priority, LeastPriority);
  return std::pow(WeightStep, -static_cast<double>(priority)) *
         (call.isNested ? NestedWeight : 1);
}

/** The places of the calls, in the order in which they are given room: each
 * counts with what its group has used and waits for before it. */
std::vector<std::size_t> rank(std::span<const WaitingCall> calls) {
  std::map<std::string_view, Seconds> used;
  std::vector<double> shares;
  shares.reserve(calls.size());
  for (const WaitingCall &it : calls) {
    Seconds &amount =
        used.try_emplace(it.group, Seconds(it.groupHasUsed)).first->second;
    amount += Seconds(it.work);
    shares.push_back(amount.count() / weightOf(it));
  }
  std::vector<std::size_t> places(calls.size());
  std::iota(places.begin(), places.end(), std::size_t{0});
  std::ranges::stable_sort(places, {},
                           [&](std::size_t place) { return shares[place]; });
  return places;
}

/** Calls that have a place in the order. */
class Order {
public:
  explicit Order(const Room &room) : room(room) {}

  /** Puts \p call as far back as it is answered in time, or at least before its
   * deadline, without making another one late. \return false if there is no
   * such place among the last MaxPlaces. */
  bool insert(const WaitingCall &call, std::size_t place, bool mustBeInTime) {
    const Entry entry{place, &call, mustBeInTime};
    auto it = entries.end();
    for (std::size_t n = 0; n < MaxPlaces; ++n, --it) {
      std::vector<Entry> next(entries.begin(), it);
      next.push_back(entry);
      next.insert(next.end(), it, entries.end());
      if (isKept(next)) {
        entries = std::move(next);
        return true;
      }
      if (it == entries.begin())
        break;
    }
    return false;
  }

  std::size_t size() const { return entries.size(); }

  std::vector<std::size_t> places() const {
    std::vector<std::size_t> result;
    std::ranges::transform(entries, std::back_inserter(result), &Entry::place);
    return result;
  }

private:
  struct Entry {
    std::size_t place = 0;
    const WaitingCall *call = nullptr;
    bool isInTime = false;
  };

  const Room &room;
  std::vector<Entry> entries;

  /** True if each call is answered in time, or before its deadline if it is
   * late already. */
  bool isKept(const std::vector<Entry> &next) const {
    TimePoint start = room.now + room.firstStart;
    return std::ranges::all_of(next, [&](const Entry &it) {
      const bool isInTime = start + it.call->work <= it.call->dueAt;
      const bool isAnswered = start + it.call->leastWork < it.call->deadline;
      start += std::max(it.call->work / room.slots, room.leastSpacing);
      return isAnswered && (isInTime || !it.isInTime);
    });
  }
};

} // namespace

RoomPlan planRoom(std::span<const WaitingCall> calls, const Room &room) {
  RoomPlan plan;
  Order order(room);
  for (const std::size_t place : rank(calls)) {
    const WaitingCall &call = calls[place];
    if (order.size() >= room.capacity)
      plan.noRoom.push_back(place);
    else if (!order.insert(call, place, true) &&
             !order.insert(call, place, false))
      plan.tooLate.push_back(place);
  }
  plan.order = order.places();
  return plan;
}

} // namespace plantainhatch
