/** \file
 * The events of one node, in a bounded ring. */
#ifndef PLANTAINHATCH_PROCESS_EVENTLOG_H
#define PLANTAINHATCH_PROCESS_EVENTLOG_H

#include "process/Event.h"

#include <deque>
#include <map>
#include <vector>

namespace plantainhatch {

/** Keeps the newest events. Events that can come with every call are counted by
 * kind, subject and cause, and recorded once an interval, so that no fault
 * floods the ring. Not thread-safe. */
class EventLog {
public:
  static constexpr std::size_t Capacity = 2048;

  /** \param node is stamped on each event. */
  explicit EventLog(std::string node) : node(std::move(node)) {}

  /** Records one event. */
  void record(HybridTime time, EventKind kind, std::string subject,
              std::string detail, std::string cause);

  /** Counts one of many equal events. */
  void count(EventKind kind, const std::string &subject,
             const std::string &cause);

  /** Records what was counted, each with its number. */
  void flushCounts(HybridTime time);

  /** Events later than \p since, oldest first. */
  std::vector<Event> since(HybridTime since) const;

  /** The time of the newest event. */
  HybridTime newest() const {
    return events.empty() ? HybridTime{} : events.back().time;
  }
  /** Events that have left the ring. */
  std::uint64_t droppedCount() const { return dropped; }

private:
  struct CountKey {
    EventKind kind;
    std::string subject;
    std::string cause;
    auto operator<=>(const CountKey &) const = default;
  };
  std::string node;
  std::deque<Event> events;
  std::map<CountKey, std::uint64_t> counts;
  std::uint64_t dropped = 0;
};

} // namespace plantainhatch

#endif
