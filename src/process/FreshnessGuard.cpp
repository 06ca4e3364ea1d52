#include "process/FreshnessGuard.h"

#include <algorithm>
#include <utility>

namespace plantainhatch {

bool FreshnessGuard::isStale(TimePoint now) {
  detectPause(now);
  if (staleSince == TimePoint{})
    return false;
  if (now - staleSince >= MaxStale)
    staleSince = TimePoint{};
  return staleSince != TimePoint{};
}

void FreshnessGuard::onTick(TimePoint now, Duration suspended) {
  detectPause(now);
  const Duration step = suspensions.advance(suspended);
  if (step >= ShortestSuspension)
    suspendedAt = now;
  if (step > PauseThreshold)
    beginPause(now);
  else if (lastConfirmed != TimePoint{})
    lastConfirmed -= step;
}

void FreshnessGuard::onConfirmed(TimePoint askedAt, Source source) {
  if (askedAt < staleSince || askedAt < suspendedAt)
    return;
  staleSince = TimePoint{};
  if (source == Source::Store)
    lastConfirmed = std::max(lastConfirmed, askedAt);
}

std::optional<TimePoint> FreshnessGuard::confirmedAt() const {
  return lastConfirmed == TimePoint{} ? std::nullopt
                                      : std::optional(lastConfirmed);
}

bool FreshnessGuard::takePauseDetected() {
  return std::exchange(pauseDetected, false);
}

void FreshnessGuard::detectPause(TimePoint now) {
  if (lastSeen != TimePoint{} && now - lastSeen > PauseThreshold)
    beginPause(now);
  lastSeen = now;
}

void FreshnessGuard::beginPause(TimePoint now) {
  staleSince = now;
  lastConfirmed = TimePoint{};
  pauseDetected = true;
}

} // namespace plantainhatch
