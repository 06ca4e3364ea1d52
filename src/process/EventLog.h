/** \file
 * The latest events of one node, in a bounded ring buffer. */
#ifndef PLANTAINHATCH_PROCESS_EVENTLOG_H
#define PLANTAINHATCH_PROCESS_EVENTLOG_H

#include "process/Event.h"

#include <deque>
#include <map>
#include <vector>

namespace plantainhatch {

/** Keeps the newest Capacity events. Events that can occur for each call are
 * counted by kind, subject and cause and recorded in aggregate at intervals, so
 * that no fault floods the buffer. Not thread-safe. */
class EventLog {
public:
  static constexpr std::size_t Capacity = 2048;

  /** \param node the callers address of this node, copied to each event. */
  explicit EventLog(std::string node) : node(std::move(node)) {}

  /** Appends one event. The oldest is dropped if the buffer is full.
   * \pre \p time is not before that of the newest event. */
  void record(HybridTime time, EventKind kind, std::string subject,
              std::string detail, std::string cause);

  /** Counts an event for the next flushCounts(). */
  void count(EventKind kind, const std::string &subject,
             const std::string &cause);

  /** Records one event for each counter, with its value, and resets all
   * counters. */
  void flushCounts(HybridTime time);

  /** Events later than \p since, oldest first. */
  std::vector<Event> since(HybridTime since) const;

  /** The time of the newest event; zero if there is none. */
  HybridTime newest() const {
    return events.empty() ? HybridTime{} : events.back().time;
  }
  /** Number of events that were dropped from the buffer. */
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
