/** \file
 * Every fault at every step of a call, and what the caller is told. */
#include "request/CallDecision.h"

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using std::chrono::milliseconds;

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));
const TimePoint Deadline = Start + milliseconds(100);
const Address First{"127.0.0.1", 1};
const Address Second{"127.0.0.1", 2};
const Address Third{"127.0.0.1", 3};

bool isForward(const CallAction &action) {
  return std::holds_alternative<ForwardAction>(action);
}

bool isWait(const CallAction &action) {
  return std::holds_alternative<WaitAction>(action);
}

bool isAnswer(const CallAction &action, unsigned status, Outcome outcome) {
  const auto *const answer = std::get_if<AnswerAction>(&action);
  return answer != nullptr && answer->status == status &&
         answer->outcome == outcome;
}

} // namespace

TEST_GROUP(CallDecision) { RetryBudget budget; };

TEST(CallDecision, RefusedCallGoesToAnotherTargetWhetherIdempotentOrNot) {
  for (const bool isIdempotent : {true, false}) {
    CallDecision call(isIdempotent, Deadline, budget);
    CHECK(isForward(call.start()));
    call.onForwarded(First);
    CHECK(isForward(call.onRefused(First, Refusal::Full, Start)));
    CHECK(call.tried().contains(First));
  }
}

TEST(CallDecision, FailedCallThatIsNotIdempotentIsNeverForwardedAgain) {
  CallDecision call(false, Deadline, budget);
  call.start();
  call.onForwarded(First);
  CHECK(isAnswer(call.onFailed(First, false, Start), 502, Outcome::Unknown));
}

TEST(CallDecision, FailedIdempotentCallIsTriedElsewhereWithinTheBudget) {
  CallDecision call(true, Deadline, budget);
  call.start();
  call.onForwarded(First);
  CHECK(isForward(call.onFailed(First, false, Start)));
  call.onForwarded(Second);
  CHECK(isForward(call.onFailed(Second, false, Start)));
  call.onForwarded(Third);
  CHECK(isAnswer(call.onFailed(Third, false, Start), 502, Outcome::Unknown));
}

TEST(CallDecision, CallAtTheDeathOfTwoTargetsIsNotTriedOnAThird) {
  CallDecision call(true, Deadline, budget);
  call.start();
  call.onForwarded(First);
  CHECK(isForward(call.onFailed(First, true, Start)));
  call.onForwarded(Second);
  CHECK(isAnswer(call.onFailed(Second, true, Start), 502, Outcome::Unknown));
}

// Guards against a request that may crash targets and reaches a third one, as a
// failure without a crash came after the crash.
TEST(CallDecision, CallAtADeathAndAFailureIsNotTriedOnAThird) {
  CallDecision call(true, Deadline, budget);
  call.start();
  call.onForwarded(First);
  CHECK(isForward(call.onFailed(First, true, Start)));
  call.onForwarded(Second);
  CHECK(isAnswer(call.onFailed(Second, false, Start), 502, Outcome::Unknown));
}

TEST(CallDecision, EmptyBudgetEndsRetries) {
  while (budget.trySpend(Start))
    ;
  CallDecision call(true, Deadline, budget);
  call.start();
  call.onForwarded(First);
  CHECK(isAnswer(call.onFailed(First, false, Start), 502, Outcome::Unknown));
}

TEST(CallDecision, AddedWorkStaysATenthOfWhatWasAskedFor) {
  constexpr unsigned Calls = 10'000;
  unsigned handedOver = 0;
  for (unsigned n = 0; n < Calls; ++n) {
    CallDecision call(true, Deadline, budget);
    CallAction action = call.start();
    const Address targets[] = {First, Second, Third, {"127.0.0.1", 4}};
    for (std::size_t it = 0; isForward(action); ++it) {
      ++handedOver;
      call.onForwarded(targets[it]);
      action = call.onFailed(targets[it], false, Start);
    }
  }
  CHECK(handedOver <= Calls * 1.1 + RetryBudget::Capacity);
}

TEST(CallDecision, DeadlineBeforeAnyHandOverIsNotRun) {
  CallDecision call(true, Deadline, budget);
  call.start();
  call.onForwarded(First);
  call.onRefused(First, Refusal::Full, Start);
  CHECK(isAnswer(call.onDeadline(), 504, Outcome::NotRun));
}

TEST(CallDecision, DeadlineDuringAnAttemptIsUnknown) {
  CallDecision call(false, Deadline, budget);
  call.start();
  call.onForwarded(First);
  CHECK(isAnswer(call.onDeadline(), 504, Outcome::Unknown));
}

TEST(CallDecision, RefusalAfterAFailureIsUnknown) {
  CallDecision call(true, Deadline, budget);
  call.start();
  call.onForwarded(First);
  call.onFailed(First, false, Start);
  call.onForwarded(Second);
  call.onRefused(Second, Refusal::DomainOut, Start);
  CHECK(isAnswer(call.onNoCandidate(), 502, Outcome::Unknown));
}

TEST(CallDecision, NoTargetAtAllIsNotRunAndTellsWhenToTryAgain) {
  CallDecision call(true, Deadline, budget);
  call.start();
  const CallAction action = call.onNoCandidate();
  CHECK(isAnswer(action, 503, Outcome::NotRun));
  CHECK(std::get<AnswerAction>(action).retryAfter.has_value());
}

TEST(CallDecision, CallMayWaitOnceAllTargetsWereFull) {
  CallDecision call(false, Deadline, budget);
  call.start();
  call.onForwarded(First);
  call.onRefused(First, Refusal::Full, Start);
  const CallAction action = call.onNoCandidate();
  CHECK(isForward(action));
  CHECK(std::get<ForwardAction>(action).mayQueue);
  CHECK(call.tried().empty());
}

TEST(CallDecision, RefusalsAreBounded) {
  CallDecision call(true, Deadline, budget);
  CallAction action = call.start();
  unsigned forwards = 0;
  while (isForward(action)) {
    call.onForwarded({"127.0.0.1", static_cast<std::uint16_t>(++forwards)});
    action = call.onRefused({"127.0.0.1", static_cast<std::uint16_t>(forwards)},
                            Refusal::Full, Start);
  }
  CHECK_EQUAL(CallDecision::MaxRefusals, forwards);
  CHECK(isAnswer(action, 503, Outcome::NotRun));
}

TEST(CallDecision, TargetsOutOfServiceDoNotUseUpTheRefusals) {
  constexpr std::array OutOfService{
      Refusal::NotConnected, Refusal::NodeStopping, Refusal::TargetLeaving,
      Refusal::DomainOut,    Refusal::VmOut,        Refusal::NoTarget};
  CallDecision call(true, Deadline, budget);
  call.start();
  std::uint16_t port = 0;
  for (const Refusal refusal : OutOfService) {
    const Address target{"127.0.0.1", ++port};
    call.onForwarded(target);
    CHECK(isForward(call.onRefused(target, refusal, Start)));
  }
  // All known targets are gone.
  CHECK(isAnswer(call.onNoCandidate(), 503, Outcome::NotRun));
}

TEST(CallDecision, WaitingCallDoesNotGoBackToTargetsOutOfService) {
  CallDecision call(true, Deadline, budget);
  call.start();
  call.onForwarded(First);
  call.onRefused(First, Refusal::Full, Start);
  call.onForwarded(Second);
  call.onRefused(Second, Refusal::NotConnected, Start);
  const CallAction action = call.onNoCandidate();
  CHECK(isForward(action));
  CHECK(std::get<ForwardAction>(action).mayQueue);
  CHECK(call.tried() == std::set<Address>{Second});
}

TEST(CallDecision, ExpectedRefusalIsTheLast) {
  CallDecision call(true, Deadline, budget);
  call.start();
  call.onForwarded(First);
  call.markAllSaturated();
  CHECK(isAnswer(call.onRefused(First, Refusal::Full, Start), 503,
                 Outcome::NotRun));
}

TEST(CallDecision, QuarantinedCallIsNotTriedElsewhere) {
  CallDecision call(true, Deadline, budget);
  call.start();
  call.onForwarded(First);
  CHECK(isAnswer(call.onRefused(First, Refusal::Quarantined, Start), 503,
                 Outcome::NotRun));
}

TEST(CallDecision, OnlyIdempotentCallsAreHedgedAndOnce) {
  CallDecision once(false, Deadline, budget);
  once.start();
  once.onForwarded(First);
  CHECK(isWait(once.onHedgeDelay(Start)));
  CallDecision call(true, Deadline, budget);
  call.start();
  call.onForwarded(First);
  CHECK(isForward(call.onHedgeDelay(Start)));
  call.onForwarded(Second);
  CHECK(isWait(call.onHedgeDelay(Start)));
}

TEST(CallDecision, FailureOfOneHedgedAttemptWaitsForTheOther) {
  CallDecision call(true, Deadline, budget);
  call.start();
  call.onForwarded(First);
  call.onHedgeDelay(Start);
  call.onForwarded(Second);
  CHECK(isWait(call.onFailed(First, false, Start)));
  CHECK(isWait(call.onNoCandidate()));
}
