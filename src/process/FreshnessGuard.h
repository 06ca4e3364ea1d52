/** \file
 * Notices that this process was paused, so that what it knows may be out of
 * date. */
#ifndef PLANTAINHATCH_PROCESS_FRESHNESSGUARD_H
#define PLANTAINHATCH_PROCESS_FRESHNESSGUARD_H

#include "base/Time.h"

namespace plantainhatch {

/** A process that is frozen and thawed goes on as if no time had passed, and
 * would hand work to a target in a failure domain that was taken out meanwhile.
 * After a pause the node is stale until a peer or the store has confirmed its
 * configuration, but not for longer than MaxStale, since serving must go on
 * when neither can be reached. Not thread-safe. */
class FreshnessGuard {
public:
  static constexpr std::chrono::milliseconds PauseThreshold{1'000};
  static constexpr std::chrono::milliseconds MaxStale{2'000};

  /** Called often; a longer gap between two calls is a pause. */
  void onTick(TimePoint now) { detectPause(now); }

  /** True if nothing new must be handed to the target. */
  bool isStale(TimePoint now);

  /** A peer or the store has answered a question that was asked at \p askedAt.
   */
  void onConfirmed(TimePoint askedAt);

  /** True once after each pause. */
  bool takePauseDetected();

private:
  TimePoint lastSeen;
  TimePoint staleSince;
  bool pauseDetected = false;

  void detectPause(TimePoint now);
};

} // namespace plantainhatch

#endif
