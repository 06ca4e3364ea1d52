/** \file
 * How much work a target is trusted with at the moment. */
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

/** The limit of work in flight at one target: between its cold slots and its
 * slots. A cold target earns its slots one by one, by completions at its
 * present limit; time alone earns nothing. It loses them at once when there is
 * a sign that it is cold again, and earns none back while it is still slow
 * against what is usual for it. Not thread-safe. */
class GateLimit {
public:
  /** Completions that each cold slot must bring before the limit grows at all.
   * Nothing tells from outside when a target is warm; one that fell over cannot
   * be made up for, while slots that come late can. */
  static constexpr unsigned CompletionsPerColdSlot = 64;
  /** Completions that each unit of the limit must bring from then on before the
   * limit grows by one. */
  static constexpr unsigned CompletionsPerSlot = 4;
  /** A completion is slow if it took this many times the usual latency. */
  static constexpr unsigned SlowFactor = 4;
  /** Slow completions in a row that make a latency step. */
  static constexpr unsigned SlowStreak = 4;
  /** The limit does not grow while latency is above this multiple of the usual
   * one. */
  static constexpr unsigned RecoveredFactor = 2;
  /** Calls in a row without an answer that count as a failure. */
  static constexpr unsigned TimeoutStreak = 3;
  /** Steps below this are noise of the scheduler, whatever their factor. */
  static constexpr std::chrono::milliseconds MinSlowStep{5};

  /** The target has started or started anew.
   * \pre 1 <= coldSlots <= slots. */
  void start(unsigned coldSlots, unsigned slots);

  /** A call was answered after \p latency while \p inFlight calls were in
   * flight. */
  void onCompleted(Duration latency, unsigned inFlight);

  /** A call failed without an answer. */
  void onFailed();

  /** A call was given up after \p waited without an answer. One such call says
   * little, as callers choose their own deadlines; several in a row with no
   * answer between them are a sign. */
  void onTimedOut(Duration waited);

  /** The target refused a call. */
  void onShed();

  /** The most calls that may be in flight. */
  unsigned limit() const { return currentLimit; }
  /** True until the limit has reached the slots since the last start. */
  bool isCold() const { return cold; }
  /** Smoothed latency of completions; zero before the first. */
  Duration latency() const { return smoothedLatency; }
  /** Why the limit was last cut; None once taken. */
  LimitCut takeCut();

private:
  unsigned slots = 0;
  unsigned coldSlots = 0;
  unsigned currentLimit = 0;
  unsigned completions = 0;
  unsigned slowStreak = 0;
  unsigned timeoutStreak = 0;
  bool cold = true;
  Duration smoothedLatency{};
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
