/** \file
 * Admission control for the local target. */
#ifndef PLANTAINHATCH_PROCESS_GATE_H
#define PLANTAINHATCH_PROCESS_GATE_H

#include "base/Time.h"
#include "base/TokenBucket.h"
#include "process/ColdRateLimit.h"
#include "process/FailureRate.h"
#include "process/GateLimit.h"
#include "process/Member.h"
#include "process/RoomLedger.h"
#include "process/RoomPlan.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhatch {

/** Identifies a call at one gate. */
using CallId = std::uint64_t;

/** Why a gate did not pass a call to its target. In all cases the call was not
 * executed. */
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
  Displaced,
  /** The call is run by a version that is known to be too old. */
  Outdated,
  /** The call may have been run before, and the target would make calls that
   * the budget of repeats has no room for. */
  RepeatBudget
};

/** The name of a refusal in answers, events and metrics, such as
 * "domain-out". */
std::string_view toString(Refusal refusal);

/** The inverse of toString(); None for any other text. */
Refusal parseRefusal(std::string_view text);

/** A call to be admitted. */
struct GateRequest {
  CallId id = 0;
  /** The service that the ingress selected the target for; the target may have
   * been replaced by one of another service since. */
  std::string service;
  std::uint64_t fingerprint = 0;
  TimePoint deadline;
  /** True if the call may be queued. An ingress that knows other targets does
   * not allow it and tries those first. */
  bool mayQueue = false;
  /** 0 is the most urgent. */
  unsigned priority = 0;
  /** Longest expected wait in the queue of a cold target. A longer queue there
   * serves no more calls, and each of them later. */
  Duration maxColdWait = Duration::max();
  /** Until when callers expect the answer; not set if that is not known. Calls
   * that wait are put in order by it, see planRoom(). */
  std::optional<TimePoint> dueAt = std::nullopt;
  /** Calls of one kind need about the same work. */
  std::string kind;
  /** The callers that share one part of the room. */
  std::string group;
  /** True if a target makes the call during a run. */
  bool isNested = false;
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

/** Result of Gate::admit(). */
struct Admission {
  enum class Kind : std::uint8_t { Admitted, Queued, Refused };
  Kind kind = Kind::Refused;
  Refusal refusal = Refusal::None;
  /** A less urgent call that was removed from the queue to make room for this
   * one. It has to be refused as Displaced. */
  std::optional<CallId> displaced;
};

/** A call that left the queue, either admitted or refused. */
struct QueueResult {
  CallId id = 0;
  /** None if the call was admitted. */
  Refusal refusal = Refusal::None;
};

/** Limits the concurrent calls at one target, with a priority queue for calls
 * that may wait. All calls to the target pass through its gate, so the count is
 * exact, unlike the load that is reported to other nodes, which is always
 * stale. Performs no I/O: the caller starts and refuses calls according to the
 * results. Not thread-safe. */
class Gate {
public:
  /** Capacity of the queue, as a multiple of the limit. */
  static constexpr std::size_t QueuePerSlot = 1;
  /** Share of its slots that a cold target gets. Many targets slow down when
   * they are nearly full, and a cold one, which is slow already, fills up at
   * once. */
  static constexpr double UncrowdedShare = 0.75;

  /** The target has announced itself, for the first time or as a heartbeat. An
   * instance that is leaving stays so until it is replaced or considered lost.
   * \return true if this is a new instance, or the target was considered lost,
   * so that the work that was in flight is lost. */
  bool announce(const Target &target);

  /** The target is shutting down and gets no new calls.
   * \return false, without effect, if there is no target or \p bootId names
   * another instance of it. */
  bool leave(const std::string &bootId);

  /** The target is considered lost, since it refused a connection or its
   * heartbeats stopped. New calls are refused until it announces itself. */
  void onTargetLost();

  /** The target may have restarted. Limits it to its cold slots until its next
   * announcement. */
  void suspectRestart() { isRestartSuspected = true; }

  /** Limits the rate of admissions to \p rateLimit until \p until, in addition
   * to the limit of concurrent calls. */
  void setColdRateLimit(const ColdRateLimit &rateLimit, TimePoint until);

  /** True while the rate limit for a cold target is in effect. */
  bool isRateLimited(TimePoint now) const { return now < coldUntil; }

  /** Lets the queue exceed its capacity while the expected wait is at most
   * \p wait, and the queue was empty that long ago or later. A burst is then
   * not refused by a target that would soon have served it, and overload that
   * lasts does not make a long queue. Zero, as at first, keeps the capacity. */
  void setBurstWait(Duration wait) { burstWait = wait; }

  /** Sets the processing time that the target last reported, relative to
   * normal: 1 is normal, 2 twice as slow. */
  void setSlowdown(double factor) { slowdownFactor = factor; }
  double slowdown() const { return slowdownFactor; }

  /** Adds the result of a call to the failure rate. */
  void recordAnswer(bool isFailure, TimePoint now) {
    failures.onCallEnded(isFailure, now);
  }
  /** Recent share of failed calls, between 0 and 1. */
  double failureRate(TimePoint now) const { return failures.at(now); }

  /** Closes the gate: all new calls are refused with \p reason. None opens it
   * again. Calls in flight are not affected; queued calls are refused by the
   * next expire(), poll() or finish(). */
  void setClosedReason(Refusal reason) { closedReason = reason; }

  /** Admits, queues or refuses a call.
   * \pre \c request.id is neither queued nor in flight here. */
  Admission admit(const GateRequest &request, TimePoint now);

  /** The head of the answer was received, which ends the measurement of the
   * latency: the time for the body also depends on how fast the caller reads.
   * \param isFailure true if the answer tells nothing of the work that such
   * calls need. \pre As for finish(). */
  void onAnswerHead(CallId id, TimePoint now, bool isFailure = false);

  /** The caller no longer waits for a call that is still being processed. The
   * call keeps its slot until it is finished as Cancelled.
   * \pre As for finish(). */
  void giveUp(CallId id, GateOutcome outcome, TimePoint now);

  /** An admitted call has ended, which frees its slot.
   * \pre \p id was admitted by admit() or a QueueResult, and was not finished
   * since.
   * \return calls that left the queue. */
  std::vector<QueueResult> finish(CallId id, GateOutcome outcome,
                                  TimePoint now);

  /** Removes a call from the queue. Does nothing if it is not queued. */
  void cancelQueued(CallId id);

  /** Refuses queued calls whose deadline has passed, or that the state of the
   * gate or the target now rules out. */
  std::vector<QueueResult> expire(TimePoint now);

  /** Like expire(), and then admits queued calls as far as the limits allow.
   * Must be called regularly, so that queued calls are admitted once the rate
   * limit allows it. */
  std::vector<QueueResult> poll(TimePoint now) { return drainQueue(now); }

  /** Fingerprints of the calls in flight, sorted and without duplicates. */
  std::vector<std::uint64_t> fingerprintsInFlight() const;

  /** Half-life of the reported latency while no call completes, so that a
   * target that was slow is tried again. */
  static constexpr std::chrono::seconds LatencyHalfLife{1};

  /** Estimated latency of the next call: the smoothed latency, or that of the
   * slowest call in flight if higher. A call without an answer counts with its
   * age, so that a stalled target is noticed before any call completes. */
  Duration expectedLatency(TimePoint now) const;

  const Target &target() const { return currentTarget; }
  unsigned inFlight() const { return static_cast<unsigned>(calls.size()); }
  /** Number of calls in flight that were not given up. */
  unsigned inFlightNotGivenUp() const;
  std::size_t queued() const { return queue.size(); }
  /** The number of concurrent calls that is allowed now. */
  unsigned limit() const;
  /** The same, with what a target may get while its rate is limited. */
  unsigned limitAt(TimePoint now) const;
  /** True while the adaptive limit is below the slots of the target. A
   * suspected restart does not count. */
  bool isCold() const { return gateLimit.isCold(); }
  /** Returns why the limit was last cut, and resets it to None. */
  LimitCut takeCut() { return gateLimit.takeCut(); }
  /** Highest number of concurrent calls since the instance started or changed
   * its slots. */
  unsigned peakInFlight() const { return peak; }

private:
  struct Call {
    TimePoint startedAt;
    std::uint64_t fingerprint = 0;
    /** The instance of the target that received the call. Outcomes of a former
     * instance are not used to adapt the limit. */
    std::string bootId;
    std::string kind;
    /** Time to the head of the answer; empty until it was received. */
    std::optional<Duration> latency;
    bool isGivenUp = false;
  };

  Target currentTarget;
  GateLimit gateLimit;
  std::map<CallId, Call> calls;
  /** Ordered by priority, then by arrival; or as planRoom() says, if it is
   * known of any when it is due. */
  std::deque<GateRequest> queue;
  RoomLedger ledger;
  Refusal closedReason = Refusal::None;
  unsigned peak = 0;
  bool isRestartSuspected = false;
  double slowdownFactor = 1;
  Duration burstWait{};
  TimePoint queueEmptyAt;
  FailureRate failures;
  TimePoint coldUntil;
  /** Calls per second. */
  double coldRate = 0;
  std::size_t mostColdStartsInASecond = 0;
  /** Admissions to this instance in the last second, oldest first. */
  std::deque<TimePoint> recentStarts;
  TokenBucket coldRateLimiter{0, 0};
  TimePoint lastCompletedAt;

  Refusal reasonToRefuse(const GateRequest &request, TimePoint now) const;
  /** True if the expected wait ends before the deadline. */
  bool canMeetDeadline(const GateRequest &request, std::size_t position,
                       TimePoint now) const;
  /** Expected time until \p position calls were admitted, up to and including
   * the one in question; zero if that is 0. */
  Duration expectedWait(std::size_t position, TimePoint now) const;
  /** True if the queue takes one more call, which would be admitted as number
   * \p position. */
  bool hasQueueRoom(std::size_t position, TimePoint now) const;
  /** True if the target is expected to answer in time, if it starts at once. */
  bool canFinish(const GateRequest &request, TimePoint now) const;
  /** The work of a call at the present speed of the target. */
  CallWork workOf(const GateRequest &request) const;
  bool isPlanned() const;
  RoomPlan plan(TimePoint now) const;
  /** Adds a call to the queue, or refuses it, by a plan for all that wait. */
  Admission admitByPlan(const GateRequest &request, TimePoint now);
  /** Puts the queue in the order of \p plan; what is not in it goes last. */
  void arrange(const RoomPlan &plan);
  /** Refuses what can no longer be served, and puts the rest in order. */
  void applyPlan(TimePoint now, std::vector<QueueResult> &results);
  void start(const GateRequest &request, TimePoint now);
  /** True if one more call may start; takes a token if the rate is limited. */
  bool tryTakeCapacity(TimePoint now);
  void dropOldStarts(TimePoint now);
  /** Removes the least urgent queued call if it is less urgent than
   * \p request. */
  std::optional<CallId> displaceFor(const GateRequest &request);
  void enqueue(const GateRequest &request);
  std::vector<QueueResult> drainQueue(TimePoint now);
  /** Adapts the limit to the outcome of a call. */
  void recordOutcome(const Call &call, GateOutcome outcome, TimePoint now);
};

} // namespace plantainhatch

#endif
