/** \file
 * Picks, admission and repeats under load that shifts in milliseconds, without
 * a network. */
#include "process/FailureRate.h"
#include "process/Gate.h"
#include "process/LoadTable.h"
#include "request/CallDecision.h"
#include "request/ExpectedEndPolicy.h"
#include "request/WeightedRoundRobin.h"

#include <array>
#include <cmath>
#include <deque>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));
const Address First{"127.0.0.1", 1};
const Address Second{"127.0.0.1", 2};

Candidate makeChoice(double inFlight, double slowdown) {
  Candidate choice;
  choice.isLocalDomain = true;
  choice.load.inFlight = inFlight;
  choice.load.limit = 12;
  choice.load.slowdown = slowdown;
  return choice;
}

std::map<std::size_t, unsigned>
pickMany(const std::vector<Candidate> &choices) {
  constexpr unsigned Picks = 400;
  ExpectedEndPolicy policy;
  std::mt19937_64 random(7);
  std::map<std::size_t, unsigned> picks;
  for (unsigned n = 0; n < Picks; ++n)
    ++picks[policy.pick(choices, random)];
  return picks;
}

Target makeWarmTarget(std::uint16_t slots = 2) {
  Target target;
  target.service = "s";
  target.address = {"127.0.0.1", 9};
  target.slots = target.coldSlots = slots;
  target.bootId = "a";
  return target;
}

GateRequest makeRequest(CallId id, unsigned priority, bool mayQueue = true) {
  return {id, "s", id, Start + std::chrono::hours(1), mayQueue, priority};
}

/** Asks a cold gate each millisecond for six seconds. */
std::size_t mostAdmittedInASecond(const ColdRateLimit &allowance) {
  Gate cold;
  cold.announce(makeWarmTarget(1'000));
  cold.setColdRateLimit(allowance, Start + seconds(10));
  // The rate flows from the first question on; after two quiet seconds the
  // whole burst is there.
  cold.admit(makeRequest(0, 1, false), Start);
  std::deque<TimePoint> admitted;
  std::size_t most = 0;
  CallId id = 1;
  for (TimePoint now = Start + seconds(2); now < Start + seconds(8);
       now += milliseconds(1)) {
    while (!admitted.empty() && now - admitted.front() >= seconds(1))
      admitted.pop_front();
    if (cold.admit(makeRequest(id, 1, false), now).kind ==
        Admission::Kind::Admitted) {
      admitted.push_back(now);
      cold.finish(id, GateOutcome::Completed, now);
    }
    ++id;
    most = std::max(most, admitted.size());
  }
  return most;
}

} // namespace

TEST_GROUP(ExpectedEnd){};

TEST(ExpectedEnd, NoisyNeighbourKeepsCallsAwayWhileOthersAreAsUsual) {
  const auto picks =
      pickMany({makeChoice(0, 7), makeChoice(6, 1), makeChoice(5, 1)});
  CHECK_FALSE(picks.contains(0));
}

TEST(ExpectedEnd, SlowTargetsShareTheWorkWhenAllAreSlow) {
  const auto picks = pickMany({makeChoice(3, 7), makeChoice(3, 7)});
  CHECK(picks.at(0) > 100);
  CHECK(picks.at(1) > 100);
}

TEST(ExpectedEnd, FullTargetIsWorthItsQueueOnlyIfOthersAreSlower) {
  const Candidate full = makeChoice(12, 1);
  CHECK(ExpectedEndPolicy::expectedEnd(full) <
        ExpectedEndPolicy::expectedEnd(makeChoice(0, 3)));
  CHECK(ExpectedEndPolicy::expectedEnd(full) >
        ExpectedEndPolicy::expectedEnd(makeChoice(0, 1)));
}

TEST(ExpectedEnd, TargetThatFailsQuicklyDoesNotDrawCalls) {
  Candidate failing = makeChoice(0, 1);
  failing.load.failureRate = 0.5;
  const auto picks = pickMany({failing, makeChoice(9, 1)});
  CHECK_FALSE(picks.contains(0));
}

TEST(ExpectedEnd, ColdTargetAndSuspectNodeComeAfterOthers) {
  Candidate cold = makeChoice(0, 1);
  cold.load.isCold = true;
  Candidate suspect = makeChoice(0, 1);
  suspect.isSuspect = true;
  const auto picks = pickMany({cold, suspect, makeChoice(8, 1)});
  CHECK_FALSE(picks.contains(0));
  CHECK_FALSE(picks.contains(1));
}

TEST(ExpectedEnd, OwnFailureDomainGoesFirstWhileItIsAsGood) {
  Candidate far = makeChoice(2, 1);
  far.isLocalDomain = false;
  const auto picks = pickMany({far, makeChoice(2, 1)});
  CHECK_FALSE(picks.contains(0));
}

TEST_GROUP(LoadShift) { Gate gate; };

TEST(LoadShift, UrgentCallsLeaveTheQueueFirst) {
  gate.announce(makeWarmTarget());
  for (CallId id = 1; id <= 2; ++id)
    CHECK(gate.admit(makeRequest(id, 2), Start).kind ==
          Admission::Kind::Admitted);
  gate.admit(makeRequest(3, 2), Start);
  gate.admit(makeRequest(4, 1), Start);
  const auto results = gate.finish(1, GateOutcome::Completed, Start);
  CHECK_EQUAL(1, results.size());
  CHECK_EQUAL(4, results.front().id);
}

TEST(LoadShift, BurstOfUrgentCallsDisplacesTheLeastUrgentOne) {
  gate.announce(makeWarmTarget());
  for (CallId id = 1; id <= 4; ++id)
    gate.admit(makeRequest(id, 2), Start);
  const auto urgent = gate.admit(makeRequest(5, 0), Start);
  CHECK(urgent.kind == Admission::Kind::Queued);
  CHECK_EQUAL(4, *urgent.displaced);
  const auto equal = gate.admit(makeRequest(6, 2), Start);
  CHECK(equal.refusal == Refusal::Full);
}

TEST(LoadShift, ColdTargetNeverGetsMoreThanItsRateInAnySecond) {
  constexpr double Rate = 20;
  constexpr std::size_t Slack = 5;
  gate.announce(makeWarmTarget(200));
  gate.setColdRateLimit({Rate, 2}, Start + seconds(10));
  std::deque<TimePoint> admitted;
  CallId id = 1;
  for (TimePoint now = Start; now < Start + seconds(5);
       now += milliseconds(2)) {
    if (gate.admit(makeRequest(id, 1, false), now).kind ==
        Admission::Kind::Admitted) {
      admitted.push_back(now);
      gate.finish(id, GateOutcome::Completed, now);
    }
    ++id;
    while (!admitted.empty() && now - admitted.front() >= seconds(1))
      admitted.pop_front();
    CHECK(admitted.size() <= static_cast<std::size_t>(Rate) + Slack);
  }
  CHECK(admitted.size() >= static_cast<std::size_t>(Rate) - 1);
}

// Guards against a target that becomes cold while it is busy and gets its whole
// cold allowance beside what it has got in the same second.
TEST(LoadShift, CallsBeforeATargetWasKnownToBeColdCountInItsFirstSecond) {
  constexpr std::size_t Before = 24;
  const auto limit = ColdRateLimit::forAnnouncedRate(13, 1.5, 8);
  CHECK_EQUAL(27, limit.mostInASecond);
  gate.announce(makeWarmTarget(200));
  for (CallId id = 1; id <= Before; ++id)
    gate.admit(makeRequest(id, 1, false), Start);
  gate.setColdRateLimit(limit, Start + seconds(10));
  std::size_t admitted = Before;
  CallId id = Before;
  for (TimePoint now = Start; now < Start + seconds(1); now += milliseconds(2))
    if (gate.admit(makeRequest(++id, 1, false), now).kind ==
        Admission::Kind::Admitted)
      ++admitted;
  CHECK_EQUAL(limit.mostInASecond, admitted);
}

TEST(LoadShift, NoAllowedOverageOrSlackIsPassedInAnySecond) {
  for (const double announced : {1.0, 2.0, 5.0, 20.0, 200.0})
    for (const double overage : {1.0, 1.2, 1.5})
      for (const double slack : {0.0, 1.0, 5.0}) {
        const std::size_t most = mostAdmittedInASecond(
            ColdRateLimit::forAnnouncedRate(announced, overage, slack));
        CHECK(static_cast<double>(most) <= announced * overage + slack);
        CHECK(most >= 1);
      }
}

TEST(LoadShift, SharesOfAllNodesSumToNoMoreThanTheFleetMayRepeat) {
  constexpr double Ratio = 0.2;
  constexpr double Extra = 56;
  constexpr unsigned Calls = 50;
  for (const unsigned nodes : {1U, 2U, 9U, 40U}) {
    unsigned repeats = 0;
    for (unsigned node = 0; node < nodes; ++node) {
      // Nodes that start together know only themselves at first.
      RetryBudget budget;
      budget.setShare(RetryShare::forNode(Ratio, Extra, 1));
      budget.setShare(RetryShare::forNode(Ratio, Extra, nodes));
      for (unsigned n = 0; n < Calls; ++n) {
        budget.onCall();
        while (budget.trySpend(Start))
          ++repeats;
      }
    }
    CHECK(repeats <= Ratio * Calls * nodes + Extra);
    CHECK(repeats > 0);
  }
}

// Guards against a fleet in which each node may repeat one call at any moment,
// which together is more than the fleet may repeat.
TEST(LoadShift, SharesOfAFleetThatIsLargerThanItsBudgetSumToNoMore) {
  constexpr double Ratio = 0.2;
  constexpr double Extra = 56;
  constexpr unsigned Calls = 50;
  for (const unsigned nodes : {57U, 200U, 2'000U}) {
    unsigned repeats = 0;
    for (unsigned node = 0; node < nodes; ++node) {
      const double position = static_cast<double>(node) / nodes;
      RetryBudget budget;
      budget.setShare(RetryShare::forNode(Ratio, Extra, nodes, position));
      // A long time without failures fills the bucket; what it holds then is
      // spent in a window of few calls.
      for (unsigned n = 0; n < Calls; ++n)
        budget.onCall();
      while (budget.trySpend(Start))
        ++repeats;
    }
    CHECK(repeats <= Extra);
    CHECK(repeats > 0);
  }
}

// A cold target that bears less than one call a second still gets calls, each
// long enough after the one before.
TEST(LoadShift, AllowanceBelowOneCallASecondHoldsOverLongerSpans) {
  for (const double allowed : {0.1, 0.25, 0.5, 0.9, 1.0, 1.9}) {
    const ColdRateLimit limit =
        ColdRateLimit::forAnnouncedRate(allowed, 1.0, 0.0);
    for (unsigned seconds = 1; seconds <= 100; ++seconds) {
      const double most = limit.burst + limit.callsPerSecond * seconds;
      const bool isLongEnough = seconds * allowed >= 2;
      CHECK(!isLongEnough || std::floor(most) <= seconds * allowed);
    }
    CHECK(limit.callsPerSecond > 0);
  }
}

TEST(LoadShift, ColdTargetGetsItsQueueAsTheRateAllows) {
  gate.announce(makeWarmTarget(12));
  gate.setColdRateLimit({10, 2}, Start + seconds(10));
  CHECK(gate.admit(makeRequest(1, 1), Start).kind == Admission::Kind::Queued);
  CHECK(gate.poll(Start).empty());
  CHECK_EQUAL(1, gate.poll(Start + milliseconds(150)).size());
}

TEST(LoadShift, CallThatFindsOnlyColdTargetsMayWaitForOne) {
  RetryBudget budget({1, 100});
  CallDecision call(false, Start + seconds(1), budget, 2);
  call.start();
  call.onForwarded(First);
  CHECK(std::holds_alternative<ForwardAction>(
      call.onRefused(First, Refusal::ColdRate, Start)));
  const CallAction action = call.onNoCandidate();
  const auto *const again = std::get_if<ForwardAction>(&action);
  CHECK(again != nullptr);
  CHECK(again->mayQueue);
}

TEST(LoadShift, CallThatAColdTargetReachesTooLateIsRefusedAtOnce) {
  gate.announce(makeWarmTarget(12));
  gate.setColdRateLimit({2, 2}, Start + seconds(30));
  GateRequest hasty = makeRequest(1, 1);
  hasty.deadline = Start + milliseconds(400);
  CHECK(gate.admit(hasty, Start).refusal == Refusal::DeadlineTooClose);
  hasty.deadline = Start + milliseconds(600);
  CHECK(gate.admit(hasty, Start).kind == Admission::Kind::Queued);
}

// Guards against a standing queue at a cold target, in which each call waits
// longer than its caller likes, and none is served sooner for it.
TEST(LoadShift, CallWaitsAtAColdTargetNoLongerThanItsCallerLikes) {
  gate.announce(makeWarmTarget(12));
  gate.setColdRateLimit({20, 2}, Start + seconds(10));
  const auto admit = [&](CallId id, unsigned priority) {
    GateRequest request = makeRequest(id, priority);
    request.maxColdWait = milliseconds(100);
    return gate.admit(request, Start);
  };
  CHECK(admit(1, 2).kind == Admission::Kind::Queued);
  CHECK(admit(2, 2).kind == Admission::Kind::Queued);
  const auto third = admit(3, 2);
  CHECK(third.kind == Admission::Kind::Refused);
  CHECK(third.refusal == Refusal::ColdRate);
  // An urgent call waits for those before it only.
  CHECK(admit(4, 1).kind == Admission::Kind::Queued);
  CHECK_EQUAL(1, gate.poll(Start + milliseconds(60)).size());
}

// Guards against the same where not the rate but the slots are used up.
TEST(LoadShift, CallWaitsForASlotOfAColdTargetNoLongerThanItsCallerLikes) {
  gate.announce(makeWarmTarget(8));
  gate.admit(makeRequest(1, 1), Start);
  TimePoint now = Start + milliseconds(300);
  gate.finish(1, GateOutcome::Completed, now);
  gate.setColdRateLimit({1'000, 100}, now + seconds(10));
  CallId id = 2;
  const auto admit = [&] {
    GateRequest request = makeRequest(id++, 1);
    request.maxColdWait = milliseconds(100);
    return gate.admit(request, now);
  };
  while (admit().kind == Admission::Kind::Admitted)
    now += milliseconds(1);
  // A slot is due each 50 ms.
  CHECK(admit().kind == Admission::Kind::Queued);
  const auto third = admit();
  CHECK(third.kind == Admission::Kind::Refused);
  CHECK(third.refusal == Refusal::ColdRate);
}

TEST(LoadShift, ColdnessEndsWhenItWasSaidToEnd) {
  gate.announce(makeWarmTarget(12));
  gate.setColdRateLimit({1, 2}, Start + seconds(2));
  CHECK(gate.isRateLimited(Start + milliseconds(1'999)));
  CHECK(gate.admit(makeRequest(1, 1, false), Start + seconds(2)).kind ==
        Admission::Kind::Admitted);
}

TEST(LoadShift, FailureRateFadesSoThatATargetIsTriedAgain) {
  FailureRate rate;
  for (unsigned n = 0; n < 30; ++n)
    rate.onCallEnded(true, Start);
  CHECK(rate.at(Start) > 0.9);
  CHECK(rate.at(Start + seconds(10)) < 0.05);
}

TEST(LoadShift, ReportOfAGateTellsMoreThanOneNodeSees) {
  LoadTable loads;
  LoadReport report;
  report.limit = 12;
  report.failurePercent = 60;
  report.slowdownPercent = 700;
  report.isCold = true;
  loads.onReport(First, report, Start);
  const auto guess = loads.estimate(First, 1, Start);
  DOUBLES_EQUAL(0.6, guess.failureRate, 0.001);
  DOUBLES_EQUAL(7.0, guess.slowdown, 0.001);
  CHECK(guess.isCold);
}

TEST(LoadShift, NoCallReachesMoreTargetsThanItsRuleAllows) {
  RetryBudget budget({1, 100});
  for (const unsigned attempts : {1U, 2U, 3U}) {
    CallDecision call(true, Start + seconds(1), budget, attempts);
    unsigned reached = 0;
    CallAction action = call.start();
    for (std::uint16_t port = 1; std::holds_alternative<ForwardAction>(action);
         ++port) {
      const Address target{"127.0.0.1", port};
      ++reached;
      call.onForwarded(target);
      action = call.onFailed(target, false, Start);
    }
    CHECK_EQUAL(attempts, reached);
  }
}

TEST(LoadShift, RefusalsOfGatesDoNotCountAsReachedTargets) {
  RetryBudget budget({1, 100});
  CallDecision call(false, Start + seconds(1), budget, 1);
  call.start();
  call.onForwarded(First);
  CHECK(std::holds_alternative<ForwardAction>(
      call.onRefused(First, Refusal::Full, Start)));
}

TEST(LoadShift, CallThatATargetShedGoesOnOnlyWithinTheBudget) {
  RetryBudget empty({0, 0});
  CallDecision call(false, Start + seconds(1), empty, 3);
  call.start();
  call.onForwarded(First);
  const CallAction action = call.onRefused(First, Refusal::TargetShed, Start);
  const auto *const answer = std::get_if<AnswerAction>(&action);
  CHECK(answer != nullptr);
  CHECK_EQUAL(503, answer->status);
  CHECK(answer->outcome == Outcome::NotRun);
}

TEST(LoadShift, AnswerThatBreaksOffIsTriedElsewhereThoughAHedgeWasSent) {
  RetryBudget budget({1, 100});
  CallDecision call(true, Start + seconds(1), budget, 3);
  call.start();
  call.onForwarded(First);
  CHECK(std::holds_alternative<ForwardAction>(call.onHedgeDelay(Start)));
  call.onForwarded(Second);
  call.onAnswer(First);
  CHECK(std::holds_alternative<ForwardAction>(
      call.onFailed(First, false, Start)));
}

TEST(LoadShift, WeightsAreHeldExactlyAndSpreadEvenly) {
  const std::array<unsigned, 2> weights{90, 10};
  WeightedRoundRobin parts;
  std::size_t second = 0;
  for (unsigned n = 1; n <= 300; ++n) {
    second += parts.next(weights);
    CHECK(second <= n / 10 + 1);
    CHECK(second + 1 >= n / 10);
  }
  CHECK_EQUAL(30, second);
}

TEST(LoadShift, PartWithoutWeightGetsNothing) {
  const std::array<unsigned, 3> weights{1, 0, 2};
  WeightedRoundRobin parts;
  std::map<std::size_t, unsigned> counts;
  for (unsigned n = 0; n < 30; ++n)
    ++counts[parts.next(weights)];
  CHECK_EQUAL(10, counts[0]);
  CHECK_EQUAL(0, counts[1]);
  CHECK_EQUAL(20, counts[2]);
}
