/** \file
 * Detects that this process was suspended and that its configuration may
 * therefore be stale. */
#ifndef PLANTAINHATCH_PROCESS_FRESHNESSGUARD_H
#define PLANTAINHATCH_PROCESS_FRESHNESSGUARD_H

#include "base/SuspensionWatch.h"

#include <cstdint>
#include <optional>

namespace plantainhatch {

/** A process that is suspended and resumed continues as if no time had passed,
 * and would pass calls to a target in a failure domain that was taken out of
 * service meanwhile. After such a pause the node counts as stale until a peer
 * or the store confirms its configuration, but for at most MaxStale, since it
 * must keep serving when neither can be reached. Not thread-safe. */
class FreshnessGuard {
public:
  /** A longer gap between two observations of the clock is a pause. */
  static constexpr std::chrono::milliseconds PauseThreshold{1'000};
  static constexpr std::chrono::milliseconds MaxStale{2'000};
  /** A suspension that is shorter than a pause makes what is known older. What
   * seems to be a still shorter one is how the clocks are read. */
  static constexpr std::chrono::milliseconds ShortestSuspension{1};

  /** Must be called at intervals well below PauseThreshold. \param suspended is
   * the time since the start of the VM that the steady clock has not counted,
   * as the VM was suspended. */
  void onTick(TimePoint now, Duration suspended = {});

  /** True if no new calls may be passed to the target. Detects a pause, too. */
  bool isStale(TimePoint now);

  /** Who has confirmed the configuration. */
  enum class Source : std::uint8_t {
    /** Another node, which may itself not have heard of a newer one. */
    Peer,
    Store
  };

  /** \p source has confirmed the configuration in reply to a request sent at
   * \p askedAt. Ignored if that was before the pause, or a suspension, was
   * detected. */
  void onConfirmed(TimePoint askedAt, Source source);

  /** The latest moment at which the configuration is known to have been the
   * newest, as the store has said; nothing if none is known since the last
   * pause. */
  std::optional<TimePoint> confirmedAt() const;

  /** True if a pause was detected since the last call. Resets the flag. */
  bool takePauseDetected();

private:
  TimePoint lastSeen;
  SuspensionWatch suspensions;
  /** When the last suspension was detected. */
  TimePoint suspendedAt;
  /** Zero if there is none since the last pause. */
  TimePoint lastConfirmed;
  /** Zero if not stale. */
  TimePoint staleSince;
  bool pauseDetected = false;

  void detectPause(TimePoint now);
  void beginPause(TimePoint now);
};

} // namespace plantainhatch

#endif
