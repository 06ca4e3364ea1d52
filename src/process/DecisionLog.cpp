#include "process/DecisionLog.h"

#include "base/Text.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace plantainhatch {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 5> KindNames{
    "belief", "refused", "failed", "attempt", "served"};

/** Sustained lines per second; bursts are up to twice that. */
constexpr double StateChangeLinesPerSecond = 50;
constexpr double RefusedLinesPerSecond = 40;
constexpr double FailedLinesPerSecond = 40;
constexpr double AttemptLinesPerSecond = 20;
constexpr double ServedLinesPerSecond = 5;

std::size_t indexOf(DecisionKind kind) {
  return static_cast<std::size_t>(kind);
}

TokenBucket makeRateLimiter(double rate) { return {rate, 2 * rate}; }

} // namespace

std::string_view toString(DecisionKind kind) {
  return KindNames.at(indexOf(kind));
}

DecisionLog::DecisionLog(std::string node)
    : node(std::move(node)), rateLimiters{
                                 makeRateLimiter(StateChangeLinesPerSecond),
                                 makeRateLimiter(RefusedLinesPerSecond),
                                 makeRateLimiter(FailedLinesPerSecond),
                                 makeRateLimiter(AttemptLinesPerSecond),
                                 makeRateLimiter(ServedLinesPerSecond)} {}

void DecisionLog::add(DecisionKind kind, const DecisionFields &fields,
                      WallTime wallTime, TimePoint now) {
  const bool hasSpace = lines.size() < MaxBytes;
  if (hasSpace && rateLimiters.at(indexOf(kind)).tryTake(1, now))
    append(kind, fields, wallTime);
  else
    ++omitted.at(indexOf(kind));
}

void DecisionLog::append(DecisionKind kind, const DecisionFields &fields,
                         WallTime wallTime) {
  json line{{"t", wallTime.time_since_epoch().count()},
            {"node", node},
            {"kind", toString(kind)}};
  for (const DecisionField &field : fields)
    std::visit(
        [&](const auto &value) { line[std::string(field.name)] = value; },
        field.value);
  lines += encodeJson(line) + "\n";
}

void DecisionLog::reportOmitted(WallTime wallTime, TimePoint now) {
  if (now - omittedReportedAt < OmittedReportInterval)
    return;
  omittedReportedAt = now;
  for (std::size_t index = 0; index < KindCount; ++index)
    if (const auto count = std::exchange(omitted.at(index), 0))
      append(DecisionKind::StateChange,
             {{"event", "lines-left-out"},
              {"of", toString(static_cast<DecisionKind>(index))},
              {"count", count}},
             wallTime);
}

std::string DecisionLog::take(std::size_t maxBytes, WallTime wallTime,
                              TimePoint now) {
  reportOmitted(wallTime, now);
  if (lines.size() <= maxBytes)
    return std::exchange(lines, {});
  const auto end = lines.rfind('\n', maxBytes - 1);
  if (end == std::string::npos)
    return {};
  std::string taken = lines.substr(0, end + 1);
  lines.erase(0, end + 1);
  return taken;
}

} // namespace plantainhatch
