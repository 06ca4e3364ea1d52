#include "process/EventLog.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace plantainhatch {

namespace {

/** Counters per interval; all further subjects and causes share one counter for
 * each kind. */
constexpr std::size_t MaxCounters = 64;

} // namespace

void EventLog::record(HybridTime time, EventKind kind, std::string subject,
                      std::string detail, std::string cause) {
  events.push_back({time, kind, node, std::move(subject), std::move(detail),
                    std::move(cause)});
  if (events.size() <= Capacity)
    return;
  events.pop_front();
  ++dropped;
}

void EventLog::count(EventKind kind, const std::string &subject,
                     const std::string &cause) {
  const CountKey key{kind, subject, cause};
  const auto it = counts.find(key);
  if (it != counts.end())
    ++it->second;
  else if (counts.size() < MaxCounters)
    counts.emplace(key, 1);
  else
    ++counts[{kind, "others",
              "more than " + std::to_string(MaxCounters) +
                  " different causes"}];
}

void EventLog::flushCounts(HybridTime time) {
  for (const auto &[key, count] : std::exchange(counts, {}))
    record(time, key.kind, key.subject, std::to_string(count) + " calls",
           key.cause);
}

std::vector<Event> EventLog::since(HybridTime since) const {
  const auto first = std::ranges::upper_bound(events, since, {}, &Event::time);
  return {first, events.end()};
}

} // namespace plantainhatch
