#include "process/LoadTable.h"

#include <algorithm>

namespace plantainhatch {

void LoadTable::onSent(const Address &target, TimePoint now) {
  Entry &entry = entries[target];
  ++entry.outstanding;
  ++entry.sentSinceReport;
  entry.usedAt = now;
}

void LoadTable::onEnded(const Address &target, bool failed, TimePoint now) {
  Entry &entry = entries[target];
  if (entry.outstanding > 0)
    --entry.outstanding;
  if (entry.sentSinceReport > 0)
    --entry.sentSinceReport;
  entry.failures = failed ? entry.failures + 1 : 0;
  entry.failureRate.onCallEnded(failed, now);
  entry.usedAt = now;
}

void LoadTable::onReport(const Address &target, const LoadReport &report,
                         TimePoint now) {
  Entry &entry = entries[target];
  entry.report = report;
  entry.reportedAt = now;
  entry.sentSinceReport = 0;
  entry.usedAt = now;
}

LoadEstimate LoadTable::estimate(const Address &target, unsigned assumedLimit,
                                 TimePoint now) const {
  LoadEstimate guess;
  guess.limit = assumedLimit;
  guess.age = Duration::max();
  const auto it = entries.find(target);
  if (it == entries.end())
    return guess;
  const Entry &entry = it->second;
  guess.failures = entry.failures;
  guess.failureRate = entry.failureRate.at(now);
  guess.inFlight = entry.outstanding;
  if (entry.reportedAt == TimePoint{})
    return guess;
  guess.age = now - entry.reportedAt;
  guess.latency = std::chrono::microseconds(entry.report.latencyUs);
  guess.slowdown = entry.report.slowdownPercent / 100.0;
  guess.isCold = entry.report.isCold;
  if (guess.age < MaxReportAge)
    guess.failureRate =
        std::max(guess.failureRate, entry.report.failurePercent / 100.0);
  guess.limit = entry.report.limit;
  if (guess.age < MaxReportAge)
    guess.inFlight = std::max<double>(
        entry.outstanding, entry.report.inFlight + entry.sentSinceReport);
  return guess;
}

void LoadTable::expire(TimePoint now) {
  std::erase_if(entries, [&](const auto &item) {
    return item.second.outstanding == 0 &&
           now - item.second.usedAt > EntryLifetime;
  });
}

} // namespace plantainhatch
