/** \file
 * Admission to the target beside this node, on exact numbers. */
#ifndef PLANTAINHATCH_PROCESS_GATE_H
#define PLANTAINHATCH_PROCESS_GATE_H

#include "base/Time.h"
#include "base/TokenBucket.h"
#include "process/ColdRateLimit.h"
#include "process/FailureRate.h"
#include "process/GateLimit.h"
#include "process/Member.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhatch {

/** Names one call at one gate. */
using CallId = std::uint64_t;

/** Why a gate did not hand a call to its target. Each means that the call was
 * not run. */
enum class Refusal : std::uint8_t {
  None,
  Full,
  DeadlineTooClose,
  NoTarget,
  WrongService,
  TargetLeaving,
  DomainOut,
  VmOut,
  NodeStopping,
  Quarantined,
  TargetShed,
  NotConnected,
  Stale,
  WrongTarget,
  ColdRate,
  Displaced
};

/** The name of a refusal in answers, events and metrics, such as "domain-out".
 */
std::string_view toString(Refusal refusal);

/** Reads what toString() wrote; None for anything else. */
Refusal parseRefusal(std::string_view text);

/** A call that asks for admission. */
struct GateRequest {
  CallId id = 0;
  /** The service that the ingress meant; a target may have been replaced by one
   * of another. */
  std::string service;
  std::uint64_t fingerprint = 0;
  TimePoint deadline;
  /** Whether the call may wait; an ingress that knows of other targets rather
   * tries those. */
  bool mayQueue = false;
  /** 0 is the most urgent. */
  unsigned priority = 0;
};

/** How a call ended at the target. */
enum class GateOutcome : std::uint8_t {
  Completed,
  Failed,
  TimedOut,
  Shed,
  Cancelled,
  NotConnected
};

/** What admit() decided. */
struct Admission {
  enum class Kind : std::uint8_t { Admitted, Queued, Refused };
  Kind kind = Kind::Refused;
  Refusal refusal = Refusal::None;
  /** A less urgent call that had to leave the queue for this one. */
  std::optional<CallId> displaced;
};

/** What became of a call that was queued. */
struct QueueResult {
  CallId id = 0;
  /** None if the call is admitted now. */
  Refusal refusal = Refusal::None;
};

/** Counts the calls in flight at one target and never lets them pass the limit.
 * All work for the target goes through here, so the count is exact where
 * reported load is always stale. Not thread-safe. */
class Gate {
public:
  /** Calls that may wait, as a multiple of the limit. */
  static constexpr std::size_t QueuePerSlot = 1;

  /** The target has announced itself.
   * \return true if this is a new start of it, so that its in-flight work is
   * gone. */
  bool announce(const Target &target);

  /** The target has said that it leaves. \return false if another start is
   * meant. */
  bool leave(const std::string &bootId);

  /** The target is taken to be gone: it refused a connection or stopped
   * announcing. */
  void onTargetLost();

  /** There is a sign that the target may have started anew. Until the next
   * announcement it gets no more than it bears while cold. */
  void suspectRestart() { isRestartSuspected = true; }

  /** The target bears no more than \p allowance until \p until, whatever its
   * slots. */
  void setColdRateLimit(const ColdRateLimit &allowance, TimePoint until);

  /** True while setCold() holds. */
  bool isRateLimited(TimePoint now) const { return now < coldUntil; }

  /** How long work takes at the target, as it said last; 1 means as usual. */
  void setSlowdown(double factor) { slowdownFactor = factor; }
  double slowdown() const { return slowdownFactor; }

  /** The target has given an answer that is, or is not, a failure. */
  void recordAnswer(bool isFailure, TimePoint now) {
    failures.onCallEnded(isFailure, now);
  }
  double failureRate(TimePoint now) const { return failures.at(now); }

  /** Refuse all new work from now on for this reason; None lifts it. Calls in
   * flight go on. */
  void setClosedReason(Refusal reason) { closedReason = reason; }

  /** Decides on a call. */
  Admission admit(const GateRequest &request, TimePoint now);

  /** The head of the answer has come; what follows depends on the caller, too.
   * \pre As for finish(). */
  void onAnswerHead(CallId id, TimePoint now);

  /** A call is no longer wanted, and the target has not let go of it yet: it
   * keeps its slot until it is finished as Cancelled.
   * \pre As for finish(). */
  void giveUp(CallId id, GateOutcome outcome, TimePoint now);

  /** A call that was admitted has ended.
   * \pre admit() or a QueueResult admitted \p id and it was not finished
   * before. \return calls that left the queue. */
  std::vector<QueueResult> finish(CallId id, GateOutcome outcome,
                                  TimePoint now);

  /** A queued call is no longer wanted. */
  void cancelQueued(CallId id);

  /** Takes queued calls out whose time has passed or that a closed gate will
   * not admit. */
  std::vector<QueueResult> expire(TimePoint now);

  /** The same, and admits queued calls that a cold target can bear by now. */
  std::vector<QueueResult> poll(TimePoint now) { return drainQueue(now); }

  /** Fingerprints of the calls in flight. */
  std::vector<std::uint64_t> fingerprintsInFlight() const;

  /** Without completions the latency that is told halves in this time, so that
   * a target that was slow is tried again. */
  static constexpr std::chrono::seconds LatencyHalfLife{1};

  /** The latency to expect, in which the age of the oldest call in flight
   * counts, so that a stalled target shows before any call completes. */
  Duration expectedLatency(TimePoint now) const;

  const Target &target() const { return currentTarget; }
  unsigned inFlight() const { return static_cast<unsigned>(calls.size()); }
  /** Calls in flight that were not given up. */
  unsigned inFlightNotGivenUp() const;
  std::size_t queued() const { return queue.size(); }
  unsigned limit() const;
  bool isCold() const { return gateLimit.isCold(); }
  LimitCut takeCut() { return gateLimit.takeCut(); }
  /** The most calls that were ever in flight since the target's start. */
  unsigned peakInFlight() const { return peak; }

private:
  struct Call {
    TimePoint startedAt;
    std::uint64_t fingerprint = 0;
    /** Calls of a former start of the target do not teach about the present
     * one. */
    std::string bootId;
    std::optional<Duration> latency;
    bool isGivenUp = false;
  };

  Target currentTarget;
  GateLimit gateLimit;
  std::map<CallId, Call> calls;
  std::deque<GateRequest> queue;
  Refusal closedReason = Refusal::None;
  unsigned peak = 0;
  bool isRestartSuspected = false;
  double slowdownFactor = 1;
  FailureRate failures;
  TimePoint coldUntil;
  double coldRate = 0;
  TokenBucket coldRateLimiter{0, 0};
  TimePoint lastCompletedAt;

  Refusal reasonToRefuse(const GateRequest &request, TimePoint now) const;
  bool canMeetDeadline(const GateRequest &request, std::size_t waiting,
                       TimePoint now) const;
  void start(const GateRequest &request, TimePoint now);
  bool tryTakeCapacity(TimePoint now);
  std::optional<CallId> displaceFor(const GateRequest &request);
  void enqueue(const GateRequest &request);
  std::vector<QueueResult> drainQueue(TimePoint now);
  void recordOutcome(const Call &call, GateOutcome outcome, TimePoint now);
};

} // namespace plantainhatch

#endif
