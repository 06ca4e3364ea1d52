#include "process/DecisionLog.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace plantainhatch {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 5> KindNames{
    "belief", "refused", "failed", "attempt", "served"};

/** Lines a second; as many may come at once after a quiet second. */
constexpr double BeliefRate = 50;
constexpr double RefusedRate = 40;
constexpr double FailedRate = 40;
constexpr double AttemptRate = 20;
constexpr double ServedRate = 5;

std::size_t indexOf(DecisionKind kind) {
  return static_cast<std::size_t>(kind);
}

TokenBucket makeBudget(double rate) { return {rate, 2 * rate}; }

} // namespace

std::string_view toString(DecisionKind kind) {
  return KindNames.at(indexOf(kind));
}

DecisionLog::DecisionLog(std::string node)
    : node(std::move(node)), rateLimiters{makeBudget(BeliefRate),
                                          makeBudget(RefusedRate),
                                          makeBudget(FailedRate),
                                          makeBudget(AttemptRate),
                                          makeBudget(ServedRate)} {}

void DecisionLog::add(DecisionKind kind, const DecisionFields &fields,
                      WallTime wallTime, TimePoint now) {
  const bool hasRoom = lines.size() < MaxBytes;
  if (hasRoom && rateLimiters.at(indexOf(kind)).tryTake(1, now))
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
  lines += line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

void DecisionLog::reportOmitted(WallTime wallTime, TimePoint now) {
  if (now - omittedReportedAt < OmittedReportInterval)
    return;
  omittedReportedAt = now;
  for (std::size_t n = 0; n < KindCount; ++n)
    if (const auto count = std::exchange(omitted.at(n), 0))
      append(DecisionKind::StateChange,
             {{"event", "lines-left-out"},
              {"of", toString(static_cast<DecisionKind>(n))},
              {"count", count}},
             wallTime);
}

std::string DecisionLog::take(std::size_t most, WallTime wallTime,
                              TimePoint now) {
  reportOmitted(wallTime, now);
  if (lines.size() <= most)
    return std::exchange(lines, {});
  const auto end = lines.rfind('\n', most - 1);
  if (end == std::string::npos)
    return {};
  std::string head = lines.substr(0, end + 1);
  lines.erase(0, end + 1);
  return head;
}

} // namespace plantainhatch
