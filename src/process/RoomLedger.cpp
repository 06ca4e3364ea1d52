#include "process/RoomLedger.h"

#include <algorithm>
#include <cmath>

namespace plantainhatch {

namespace {

constexpr unsigned LeastAnswers = 16;
/** Weights of new samples, as 1/N. The least work rises slowly, as most samples
 * are above it. */
constexpr int MeanWeight = 8;
constexpr int LeastRiseWeight = 64;

} // namespace

void RoomLedger::onAnswered(const std::string &kind, Duration time,
                            double slowdown) {
  if (kinds.size() >= MaxEntries && !kinds.contains(kind))
    return;
  const auto sample =
      std::chrono::duration_cast<Duration>(time / std::max(slowdown, 1.0));
  Kind &it = kinds[kind];
  if (it.answers == 0)
    it.work = {sample, sample};
  it.answers = std::min(it.answers + 1, LeastAnswers);
  it.work.mean += (sample - it.work.mean) / MeanWeight;
  it.work.least = std::min(sample, it.work.least + (sample - it.work.least) /
                                                       LeastRiseWeight);
}

std::optional<CallWork> RoomLedger::workOf(const std::string &kind) const {
  const auto it = kinds.find(kind);
  if (it == kinds.end() || it->second.answers < LeastAnswers)
    return std::nullopt;
  return it->second.work;
}

void RoomLedger::onStarted(const std::string &group, Duration work,
                           TimePoint now) {
  if (uses.size() >= MaxEntries && !uses.contains(group))
    forgetLeast(now);
  Use &use = uses[group];
  use = {use.decayed(now) + work, now};
}

Duration RoomLedger::usedBy(const std::string &group, TimePoint now) const {
  const auto it = uses.find(group);
  return it == uses.end() ? Duration{} : it->second.decayed(now);
}

Duration RoomLedger::Use::decayed(TimePoint now) const {
  const std::chrono::duration<double> age = std::max(now - at, Duration{});
  const double part = std::exp2(-age / std::chrono::duration<double>(HalfLife));
  return std::chrono::duration_cast<Duration>(amount * part);
}

void RoomLedger::forgetLeast(TimePoint now) {
  uses.erase(std::ranges::min_element(
      uses, {}, [now](const auto &it) { return it.second.decayed(now); }));
}

} // namespace plantainhatch
