#include "request/CallDecision.h"

#include "request/HttpStatus.h"

namespace plantainhatch {

namespace {

/** True if the target refuses calls regardless of its load. */
bool isOutOfService(Refusal refusal) {
  switch (refusal) {
  case Refusal::NotConnected:
  case Refusal::NodeStopping:
  case Refusal::TargetLeaving:
  case Refusal::DomainOut:
  case Refusal::VmOut:
  case Refusal::NoTarget:
  case Refusal::WrongService:
    return true;
  default:
    return false;
  }
}

} // namespace

CallDecision::CallDecision(bool isIdempotent, TimePoint deadline,
                           RetryBudget &budget, unsigned attempts)
    : isIdempotent(isIdempotent), deadline(deadline), budget(budget),
      attempts(attempts) {}

CallAction CallDecision::start() {
  budget.onCall();
  return ForwardAction{false};
}

void CallDecision::onForwarded(const Address &target) {
  triedTargets.insert(target);
  pending.insert(target);
  ++usedAttempts;
}

CallAction CallDecision::onNoCandidate() {
  if (!pending.empty())
    return WaitAction{};
  // The last refusal was for lack of capacity: pick again among all targets but
  // those out of service, this time with permission to queue.
  const bool wasFull = refusals > 0 && (lastRefusal == Refusal::Full ||
                                        lastRefusal == Refusal::ColdRate);
  if (wasFull && !hasRestartedPicking && !hasFailed) {
    hasRestartedPicking = true;
    triedTargets = unavailableTargets;
    return ForwardAction{true};
  }
  return refuse();
}

CallAction CallDecision::onRefused(const Address &target, Refusal refusal,
                                   TimePoint now) {
  pending.erase(target);
  if (isOutOfService(refusal)) {
    unavailableTargets.insert(target);
    if (refusals == 0)
      lastRefusal = refusal;
  } else {
    ++refusals;
    lastRefusal = refusal;
  }
  const bool hasReachedTarget =
      refusal == Refusal::TargetShed || refusal == Refusal::WrongTarget;
  if (!hasReachedTarget)
    --usedAttempts;
  if (!pending.empty())
    return WaitAction{};
  if (now >= deadline)
    return onDeadline();
  if (refusals >= MaxRefusals || areAllSaturated ||
      refusal == Refusal::Quarantined || !hasAttemptsLeft())
    return refuse();
  if (hasReachedTarget && !budget.trySpend(now))
    return refuse();
  return ForwardAction{refusals >= RefusalsBeforeQueue ||
                       !unavailableTargets.empty()};
}

CallAction CallDecision::onFailed(const Address &target, bool didTargetDie,
                                  TimePoint now) {
  pending.erase(target);
  hasFailed = true;
  hasTargetDied = hasTargetDied || didTargetDie;
  ++failures;
  if (!pending.empty())
    return WaitAction{};
  if (now >= deadline)
    return onDeadline();
  // A call in flight when a target dies may have caused the crash. After a
  // crash it is retried only if that was its first failure; whether the same
  // request may run again later is decided by the quarantine.
  const unsigned allowed = hasTargetDied ? MaxFailures - 1 : MaxFailures;
  if (isIdempotent && failures <= allowed && hasAttemptsLeft() &&
      budget.trySpend(now))
    return ForwardAction{true};
  return AnswerAction{httpStatus::BadGateway, Outcome::Unknown,
                      "attempt-failed", std::nullopt};
}

CallAction CallDecision::onHedgeDelay(TimePoint now) {
  if (!isIdempotent || hasHedged || pending.size() != 1 || now >= deadline)
    return WaitAction{};
  hasHedged = true;
  if (!hasAttemptsLeft() || !budget.trySpend(now))
    return WaitAction{};
  return ForwardAction{false};
}

CallAction CallDecision::onDeadline() {
  return AnswerAction{httpStatus::GatewayTimeout, outcome(), "deadline",
                      std::nullopt};
}

AnswerAction CallDecision::refuse() const {
  const unsigned status =
      hasFailed ? httpStatus::BadGateway : httpStatus::ServiceUnavailable;
  const bool isFull =
      lastRefusal == Refusal::Full || lastRefusal == Refusal::Displaced ||
      lastRefusal == Refusal::ColdRate || lastRefusal == Refusal::TargetShed;
  return AnswerAction{status, outcome(), std::string(toString(lastRefusal)),
                      isFull ? RetryAfterWhenFull : RetryAfter};
}

} // namespace plantainhatch
