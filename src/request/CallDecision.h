/** \file
 * State machine for one call: forwarding, retries, hedging and the answer
 * that the system makes itself. */
#ifndef PLANTAINHATCH_REQUEST_CALLDECISION_H
#define PLANTAINHATCH_REQUEST_CALLDECISION_H

#include "base/Time.h"
#include "process/Gate.h"
#include "request/Outcome.h"
#include "request/RetryBudget.h"
#include "version/Rule.h"

#include <optional>
#include <set>
#include <string>
#include <variant>

namespace plantainhatch {

/** Nothing to do until the next event; an attempt is in progress. */
struct WaitAction {};

/** Pick a target that is not in CallDecision::tried() and forward the call to
 * it. */
struct ForwardAction {
  /** True if the call may wait in the queue of the target's gate. */
  bool mayQueue = false;
};

/** Send the caller an answer that the system makes itself. */
struct AnswerAction {
  /** HTTP status code. */
  unsigned status = 0;
  Outcome outcome = Outcome::NotRun;
  /** Machine-readable reason, such as "deadline" or the name of a Refusal. */
  std::string reason;
  /** Value for Retry-After; not set if the header is left out. */
  std::optional<std::chrono::milliseconds> retryAfter;
};

/** The next step for a call. */
using CallAction = std::variant<WaitAction, ForwardAction, AnswerAction>;

/** State machine for one call, from arrival to answer. It does no I/O and
 * reads no clock: the owner reports events with their time, and each event
 * returns the next action. A call that is not idempotent is sent to one target,
 * and to another one only if a refusal proves that it was not run. Not
 * thread-safe. */
class CallDecision {
public:
  /** Refusals after which the call is rejected. Bounds the number of hops while
   * the fleet is saturated; refusals by targets that are out of service do
   * not count. */
  static constexpr unsigned MaxRefusals = 4;
  /** Refusals after which the next gate may queue the call. A single refusal by
   * a target that is out of service permits it too. */
  static constexpr unsigned RefusalsBeforeQueue = 1;
  /** An idempotent call is retried after a failed attempt if no more than this
   * many have failed; one less if a target died during one of them. */
  static constexpr unsigned MaxFailures = 2;
  /** Value of Retry-After if the call is rejected. */
  static constexpr std::chrono::milliseconds RetryAfter{1'000};
  /** The same if the last refusal was for lack of capacity, which frees up
   * sooner. */
  static constexpr std::chrono::milliseconds RetryAfterWhenFull{250};

  /** \param budget must outlive this object.
   * \param attempts maximum number of targets that may receive the call. */
  CallDecision(bool isIdempotent, TimePoint deadline, RetryBudget &budget,
               unsigned attempts = ServiceRule::DefaultAttempts);

  /** The call has arrived. Credits the retry budget. */
  CallAction start();
  /** The call was forwarded to \p target. */
  void onForwarded(const Address &target);
  /** No candidate is left to pick. Returns WaitAction while an attempt is in
   * progress. After that, once per call, if the last refusal was Full or
   * ColdRate and no attempt failed, all targets but those out of service may be
   * picked again, and their gates may queue the call. Otherwise the call is
   * rejected. */
  CallAction onNoCandidate();
  /** The attempt was refused, which proves that the call was not run. */
  CallAction onRefused(const Address &target, Refusal refusal, TimePoint now);
  /** The attempt failed, and whether the call was run is unknown.
   * \param didTargetDie true if the target crashed during the attempt. */
  CallAction onFailed(const Address &target, bool didTargetDie, TimePoint now);
  /** The hedging delay has passed without an answer. Adds at most one hedged
   * attempt per call, and only if the call is idempotent. */
  CallAction onHedgeDelay(TimePoint now);
  /** \p target has started to answer; the other attempts are abandoned. */
  void onAnswer(const Address &target) { pending = {target}; }
  /** The deadline has passed without an answer. */
  CallAction onDeadline();

  /** All candidates are known to be saturated: the next refusal ends the call.
   */
  void markAllSaturated() { areAllSaturated = true; }

  /** Targets that must not be picked again. */
  const std::set<Address> &tried() const { return triedTargets; }
  /** Targets with an attempt in progress. */
  const std::set<Address> &pendingAttempts() const { return pending; }
  /** True if an attempt has reached a target, or may yet. */
  bool hasReachedTarget() const { return usedAttempts > 0; }
  /** True if a target may have run the call. */
  bool mayHaveRun() const { return hasFailed || !pending.empty(); }

private:
  bool isIdempotent;
  TimePoint deadline;
  RetryBudget &budget;
  unsigned attempts;
  /** Attempts that count against the limit: all but those that a gate refused
   * before the call reached its target. */
  unsigned usedAttempts = 0;
  std::set<Address> triedTargets;
  /** The tried targets that refused because they are out of service. */
  std::set<Address> unavailableTargets;
  std::set<Address> pending;
  unsigned refusals = 0;
  unsigned failures = 0;
  bool hasFailed = false;
  /** A target died during an attempt, which the call may have caused. */
  bool hasTargetDied = false;
  bool hasHedged = false;
  bool hasRestartedPicking = false;
  bool areAllSaturated = false;
  Refusal lastRefusal = Refusal::NoTarget;

  Outcome outcome() const {
    return mayHaveRun() ? Outcome::Unknown : Outcome::NotRun;
  }
  bool hasAttemptsLeft() const { return usedAttempts < attempts; }
  AnswerAction refuse() const;
};

} // namespace plantainhatch

#endif
