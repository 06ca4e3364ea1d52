#include "process/FreshnessGuard.h"

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

void FreshnessGuard::onConfirmed(TimePoint askedAt) {
  if (askedAt >= staleSince)
    staleSince = TimePoint{};
}

bool FreshnessGuard::takePauseDetected() {
  return std::exchange(pauseDetected, false);
}

void FreshnessGuard::detectPause(TimePoint now) {
  if (lastSeen != TimePoint{} && now - lastSeen > PauseThreshold) {
    staleSince = now;
    pauseDetected = true;
  }
  lastSeen = now;
}

} // namespace plantainhatch
