#include "process/LoadTable.h"

#include <algorithm>
#include <numeric>
#include <ranges>

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
  LoadEstimate result;
  result.limit = assumedLimit;
  result.age = Duration::max();
  const auto it = entries.find(target);
  if (it == entries.end())
    return result;
  const Entry &entry = it->second;
  result.failures = entry.failures;
  result.failureRate = entry.failureRate.at(now);
  result.inFlight = entry.outstanding;
  if (entry.reportedAt == TimePoint{})
    return result;
  result.age = now - entry.reportedAt;
  result.latency = std::chrono::microseconds(entry.report.latencyUs);
  result.slowdown = entry.report.slowdownPercent / 100.0;
  result.isCold = entry.report.isCold;
  if (result.age < MaxReportAge)
    result.failureRate =
        std::max(result.failureRate, entry.report.failurePercent / 100.0);
  result.limit = entry.report.limit;
  if (result.age < MaxReportAge)
    result.inFlight = std::max<double>(
        entry.outstanding, entry.report.inFlight + entry.sentSinceReport);
  return result;
}

std::size_t LoadTable::outstanding() const {
  const auto counts = entries | std::views::values |
                      std::views::transform(&Entry::outstanding) |
                      std::views::common;
  return std::accumulate(counts.begin(), counts.end(), std::size_t{0});
}

void LoadTable::expire(TimePoint now) {
  std::erase_if(entries, [&](const auto &item) {
    return item.second.outstanding == 0 &&
           now - item.second.usedAt > EntryLifetime;
  });
}

} // namespace plantainhatch
