/** \file
 * Adaptive limit of the concurrent calls at one target. */
#ifndef PLANTAINHATCH_PROCESS_GATELIMIT_H
#define PLANTAINHATCH_PROCESS_GATELIMIT_H

#include "base/Time.h"

#include <cstdint>

namespace plantainhatch {

/** Why a limit was cut. */
enum class LimitCut : std::uint8_t {
  None,
  NewStart,
  Failure,
  Shed,
  LatencyStep
};

/** "none", "new-start", "failure", "shed" or "latency-step". */
const char *toString(LimitCut cut);

/** The limit of concurrent calls at one target, between its cold slots and its
 * slots. It starts at the cold slots and grows by one at a time, after enough
 * completions while the limit is fully used; it does not grow with time alone.
 * A restart, a failure or a step in latency cuts it to the cold slots at once,
 * and a call that the target sheds reduces it. It does not grow while the
 * latency is well above the target's baseline. Not thread-safe. */
class GateLimit {
public:
  /** Completions per cold slot before the limit grows beyond the cold slots. A
   * gate cannot observe whether a target is warm. A cold target that is
   * overloaded may fail, whereas a limit that is raised late costs only some
   * throughput. */
  static constexpr unsigned CompletionsPerColdSlot = 64;
  /** Completions per unit of the limit for each further growth by one. */
  static constexpr unsigned CompletionsPerSlot = 4;
  /** A completion is slow if it takes longer than this multiple of the baseline
   * latency. */
  static constexpr unsigned SlowFactor = 4;
  /** Consecutive slow completions that count as a latency step. */
  static constexpr unsigned SlowStreak = 4;
  /** The limit does not grow while the smoothed latency is above this multiple
   * of the baseline. */
  static constexpr unsigned RecoveredFactor = 2;
  /** Consecutive time-outs that count as a failure. */
  static constexpr unsigned TimeoutStreak = 3;
  /** Latency increases below this are scheduling noise, whatever their
   * factor. */
  static constexpr std::chrono::milliseconds MinSlowStep{5};

  /** Resets the limit for a new instance of the target or when its slots
   * change. The baseline latency is kept.
   * \pre 1 <= coldSlots <= slots. */
  void start(unsigned coldSlots, unsigned slots);

  /** A call completed with \p latency. \p inFlight is the number of concurrent
   * calls, including this one. */
  void onCompleted(Duration latency, unsigned inFlight);

  /** A call failed without an answer. */
  void onFailed();

  /** A call timed out after \p waited without an answer. A single time-out is
   * no evidence of a failure, since callers choose their own deadlines, but
   * several without a completion in between are. Time-outs after at most
   * SlowFactor times the baseline latency do not count. */
  void onTimedOut(Duration waited);

  /** The target shed a call because of overload. */
  void onShed();

  /** The number of concurrent calls that is allowed. */
  unsigned limit() const { return currentLimit; }
  /** True while the limit is below the slots. */
  bool isCold() const { return cold; }
  /** Moving average of the latency of completions; zero before the first one
   * after start(). */
  Duration latency() const { return smoothedLatency; }
  /** Returns why the limit was last cut, and resets it to None. */
  LimitCut takeCut();

private:
  unsigned slots = 0;
  unsigned coldSlots = 0;
  unsigned currentLimit = 0;
  /** Since the limit last changed, while it was fully used. */
  unsigned completions = 0;
  unsigned slowStreak = 0;
  unsigned timeoutStreak = 0;
  bool cold = true;
  Duration smoothedLatency{};
  /** Long-term average of the latency. */
  Duration baselineLatency{};
  LimitCut lastCut = LimitCut::None;

  void cutTo(unsigned limit, LimitCut cut);
  bool isLatencyStep(Duration latency);
  void updateAverages(Duration latency);
  bool isRecovered() const;
  void grow(unsigned inFlight);
  unsigned completionsToGrow() const;
};

} // namespace plantainhatch

#endif
