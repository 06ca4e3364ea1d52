#include "process/GateLimit.h"

#include <algorithm>

namespace plantainhatch {

namespace {

/** Weights of new samples in exponentially weighted moving averages, as 1/N. */
constexpr int SmoothedWeight = 8;
constexpr int BaselineFallWeight = 64;
/** The baseline rises slowly, since the high latency of a cold target would
 * otherwise soon count as normal. */
constexpr int BaselineRiseWeight = 512;
/** The limit is multiplied by this fraction when the target sheds a call. */
constexpr unsigned ShedNumerator = 7;
constexpr unsigned ShedDenominator = 10;

Duration average(Duration old, Duration sample, int weight) {
  return old == Duration{} ? sample : old + (sample - old) / weight;
}

} // namespace

const char *toString(LimitCut cut) {
  switch (cut) {
  case LimitCut::None:
    return "none";
  case LimitCut::NewStart:
    return "new-start";
  case LimitCut::Failure:
    return "failure";
  case LimitCut::Shed:
    return "shed";
  case LimitCut::LatencyStep:
    return "latency-step";
  }
  return "none";
}

void GateLimit::start(unsigned newColdSlots, unsigned newSlots) {
  slots = newSlots;
  coldSlots = newColdSlots;
  smoothedLatency = Duration{};
  cutTo(coldSlots, LimitCut::NewStart);
}

void GateLimit::onCompleted(Duration latency, unsigned inFlight) {
  timeoutStreak = 0;
  if (isLatencyStep(latency)) {
    cutTo(coldSlots, LimitCut::LatencyStep);
    smoothedLatency = latency;
    return;
  }
  updateAverages(latency);
  grow(inFlight);
}

void GateLimit::onFailed() { cutTo(coldSlots, LimitCut::Failure); }

void GateLimit::onTimedOut(Duration waited) {
  if (waited <= baselineLatency * SlowFactor)
    return;
  if (++timeoutStreak >= TimeoutStreak)
    cutTo(coldSlots, LimitCut::Failure);
}

void GateLimit::onShed() {
  const unsigned reduced = currentLimit * ShedNumerator / ShedDenominator;
  cutTo(std::max(coldSlots, reduced), LimitCut::Shed);
}

LimitCut GateLimit::takeCut() {
  const LimitCut cut = lastCut;
  lastCut = LimitCut::None;
  return cut;
}

void GateLimit::cutTo(unsigned limit, LimitCut cut) {
  completions = 0;
  slowStreak = timeoutStreak = 0;
  // Nothing is cut, so that there is nothing to report.
  if (currentLimit == limit && cut != LimitCut::NewStart)
    return;
  currentLimit = limit;
  cold = currentLimit < slots;
  lastCut = cut;
}

bool GateLimit::isLatencyStep(Duration latency) {
  const bool isSlow = baselineLatency != Duration{} &&
                      latency > baselineLatency * SlowFactor &&
                      latency > baselineLatency + MinSlowStep;
  slowStreak = isSlow ? slowStreak + 1 : 0;
  return slowStreak >= SlowStreak;
}

void GateLimit::updateAverages(Duration latency) {
  smoothedLatency = average(smoothedLatency, latency, SmoothedWeight);
  baselineLatency = average(baselineLatency, latency,
                            latency > baselineLatency ? BaselineRiseWeight
                                                      : BaselineFallWeight);
}

bool GateLimit::isRecovered() const {
  return smoothedLatency <= baselineLatency * RecoveredFactor ||
         smoothedLatency <= baselineLatency + MinSlowStep;
}

unsigned GateLimit::completionsToGrow() const {
  const bool isAtColdSlots = currentLimit == coldSlots;
  return currentLimit *
         (isAtColdSlots ? CompletionsPerColdSlot : CompletionsPerSlot);
}

void GateLimit::grow(unsigned inFlight) {
  if (currentLimit >= slots) {
    cold = false;
    return;
  }
  // Completions below the limit do not show that the target can take more
  // calls.
  if (inFlight < currentLimit || !isRecovered())
    return;
  if (++completions < completionsToGrow())
    return;
  completions = 0;
  ++currentLimit;
  cold = currentLimit < slots;
}

} // namespace plantainhatch
