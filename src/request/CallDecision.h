/** \file
 * What to do next for one call: forward, wait or answer. */
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

/** Attempts are under way; there is nothing to do but wait. */
struct WaitAction {};

/** Pick a target that was not tried and forward the call to it. */
struct ForwardAction {
  bool mayQueue = false;
};

/** Answer the caller. */
struct AnswerAction {
  unsigned status = 0;
  Outcome outcome = Outcome::NotRun;
  std::string reason;
  std::optional<std::chrono::milliseconds> retryAfter;
};

/** The next step for a call. */
using CallAction = std::variant<WaitAction, ForwardAction, AnswerAction>;

/** Decides on one call from its arrival to its answer. It knows no sockets and
 * no clock: events come in with their time, and each returns the next action. A
 * call that is not idempotent is handed over once, and again only after the
 * party that refused it has proved that it was not run. Not thread-safe. */
class CallDecision {
public:
  /** Bounds the hops of a call while the fleet is full; targets out of service
   * are not counted. */
  static constexpr unsigned MaxRefusals = 4;
  /** Refusals after which a gate may queue the call. */
  static constexpr unsigned RefusalsBeforeQueue = 1;
  static constexpr unsigned MaxFailures = 2;
  static constexpr std::chrono::milliseconds RetryAfter{1'000};
  /** The same where only room was lacking, which comes back soon. */
  static constexpr std::chrono::milliseconds RetryAfterWhenFull{250};

  /** \param budget outlives the decision. \param attempts is the most targets
   * that may get the call. */
  CallDecision(bool isIdempotent, TimePoint deadline, RetryBudget &budget,
               unsigned attempts = ServiceRule::DefaultAttempts);

  /** The call has arrived. */
  CallAction start();
  /** The call was sent to this target. */
  void onForwarded(const Address &target);
  /** There is no target left to pick. */
  CallAction onNoCandidate();
  /** The attempt was refused, and the call provably not run. */
  CallAction onRefused(const Address &target, Refusal refusal, TimePoint now);
  /** The attempt failed, and whether the call was run is not known. */
  CallAction onFailed(const Address &target, bool didTargetDie, TimePoint now);
  /** The hedging delay has passed without an answer. */
  CallAction onHedgeDelay(TimePoint now);
  /** This target has begun to answer; the other attempts are given up. */
  void onAnswer(const Address &target) { pending = {target}; }
  /** The deadline has passed without an answer. */
  CallAction onDeadline();

  /** All targets are known to have no place left: the next refusal is the last.
   */
  void markAllSaturated() { areAllSaturated = true; }

  /** Targets that are not to be picked again. */
  const std::set<Address> &tried() const { return triedTargets; }
  /** Attempts without a result yet. */
  const std::set<Address> &pendingAttempts() const { return pending; }
  /** True if a target may have run the call. */
  bool mayHaveRun() const { return hasFailed || !pending.empty(); }

private:
  bool isIdempotent;
  TimePoint deadline;
  RetryBudget &budget;
  unsigned attempts;
  /** Targets that got the call, or are about to. */
  unsigned usedAttempts = 0;
  std::set<Address> triedTargets;
  /** Those of them that refused because they are out of service. */
  std::set<Address> unavailableTargets;
  std::set<Address> pending;
  unsigned refusals = 0;
  unsigned failures = 0;
  bool hasFailed = false;
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
