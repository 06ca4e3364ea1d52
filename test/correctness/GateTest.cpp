/** \file
 * Admission on exact numbers, the limit of cold targets, the queue. */
#include "process/Gate.h"

#include <random>
#include <set>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using std::chrono::milliseconds;

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));

Target makeTarget(const std::string &bootId, std::uint16_t slots = 12,
                  std::uint16_t coldSlots = 3) {
  Target target;
  target.service = "s";
  target.address = {"127.0.0.1", 9};
  target.slots = slots;
  target.coldSlots = coldSlots;
  target.connections = 220;
  target.bootId = bootId;
  return target;
}

GateRequest makeRequest(CallId id, bool mayQueue = false) {
  return {id, "s", id, Start + std::chrono::hours(1), mayQueue};
}

/** Runs calls one limit at a time until the target counts as warm. */
void warmUp(Gate &gate, milliseconds latency, CallId &next, TimePoint &now) {
  while (gate.isCold()) {
    std::vector<CallId> batch;
    while (gate.admit(makeRequest(next), now).kind == Admission::Kind::Admitted)
      batch.push_back(next++);
    now += latency;
    for (const CallId id : batch)
      gate.finish(id, GateOutcome::Completed, now);
  }
}

} // namespace

TEST_GROUP(Gate) {
  Gate gate;
  CallId next = 1;
  TimePoint now = Start;

  unsigned countTaken() {
    unsigned taken = 0;
    while (gate.admit(makeRequest(next++, true), now).kind !=
           Admission::Kind::Refused)
      ++taken;
    return taken;
  }
};

TEST(Gate, NoTargetMeansNoAdmission) {
  const auto admission = gate.admit(makeRequest(1), now);
  CHECK(admission.refusal == Refusal::NoTarget);
}

TEST(Gate, ColdTargetGetsItsColdSlotsAndNoMore) {
  gate.announce(makeTarget("a"));
  unsigned admitted = 0;
  for (CallId id = 1; id <= 100; ++id)
    if (gate.admit(makeRequest(id), now).kind == Admission::Kind::Admitted)
      ++admitted;
  CHECK_EQUAL(3, admitted);
}

TEST(Gate, TimeAloneEarnsNoSlots) {
  gate.announce(makeTarget("a"));
  now += std::chrono::hours(10);
  gate.expire(now);
  CHECK_EQUAL(3, gate.limit());
}

TEST(Gate, CompletionsBelowTheLimitEarnNoSlots) {
  gate.announce(makeTarget("a"));
  for (CallId id = 1; id <= 1000; ++id) {
    gate.admit(makeRequest(id), now);
    now += milliseconds(5);
    gate.finish(id, GateOutcome::Completed, now);
  }
  CHECK_EQUAL(3, gate.limit());
}

TEST(Gate, CompletionsAtTheLimitEarnSlotsOneByOne) {
  gate.announce(makeTarget("a"));
  unsigned before = gate.limit();
  while (gate.isCold()) {
    std::vector<CallId> batch;
    while (gate.admit(makeRequest(next), now).kind == Admission::Kind::Admitted)
      batch.push_back(next++);
    now += milliseconds(5);
    for (const CallId id : batch)
      gate.finish(id, GateOutcome::Completed, now);
    CHECK(gate.limit() <= before + 1);
    before = gate.limit();
  }
  CHECK_EQUAL(12, gate.limit());
}

TEST(Gate, NewStartCutsTheLimitAtOnce) {
  gate.announce(makeTarget("a"));
  warmUp(gate, milliseconds(5), next, now);
  CHECK(gate.announce(makeTarget("b")));
  CHECK_EQUAL(3, gate.limit());
  CHECK(gate.target().state == TargetState::Cold);
}

TEST(Gate, AnnouncementAsHeartbeatKeepsTheLimit) {
  gate.announce(makeTarget("a"));
  warmUp(gate, milliseconds(5), next, now);
  CHECK_FALSE(gate.announce(makeTarget("a")));
  CHECK_EQUAL(12, gate.limit());
}

TEST(Gate, DoubtedTargetGetsItsColdSlotsUntilItAnnouncesItself) {
  gate.announce(makeTarget("a"));
  warmUp(gate, milliseconds(5), next, now);
  gate.suspectRestart();
  CHECK_EQUAL(3, gate.limit());
  gate.announce(makeTarget("a"));
  CHECK_EQUAL(12, gate.limit());
  gate.suspectRestart();
  gate.announce(makeTarget("b"));
  CHECK_EQUAL(3, gate.limit());
}

TEST(Gate, FailureCutsTheLimitAtOnce) {
  gate.announce(makeTarget("a"));
  warmUp(gate, milliseconds(5), next, now);
  gate.admit(makeRequest(next), now);
  gate.finish(next, GateOutcome::Failed, now);
  CHECK_EQUAL(3, gate.limit());
  CHECK(gate.takeCut() == LimitCut::Failure);
}

TEST(Gate, FailureThatCutsNothingIsNotReported) {
  GateLimit limit;
  limit.start(4, 4);
  CHECK(limit.takeCut() == LimitCut::NewStart);
  limit.onFailed();
  CHECK(limit.takeCut() == LimitCut::None);
  CHECK_EQUAL(4, limit.limit());
}

TEST(Gate, LatencyStepCutsTheLimitAndItStaysUntilLatencyRecovers) {
  gate.announce(makeTarget("a"));
  warmUp(gate, milliseconds(5), next, now);
  for (unsigned n = 0; n < GateLimit::SlowStreak; ++n) {
    gate.admit(makeRequest(next), now);
    now += milliseconds(60);
    gate.finish(next++, GateOutcome::Completed, now);
  }
  CHECK_EQUAL(3, gate.limit());
  CHECK(gate.takeCut() == LimitCut::LatencyStep);
  for (int round = 0; round < 20; ++round) {
    std::vector<CallId> batch;
    while (gate.admit(makeRequest(next), now).kind == Admission::Kind::Admitted)
      batch.push_back(next++);
    now += milliseconds(60);
    for (const CallId id : batch)
      gate.finish(id, GateOutcome::Completed, now);
  }
  CHECK_EQUAL(3, gate.limit());
  warmUp(gate, milliseconds(5), next, now);
  CHECK_EQUAL(12, gate.limit());
}

TEST(Gate, OneTimeoutOfAnImpatientCallerCutsNothing) {
  gate.announce(makeTarget("a"));
  warmUp(gate, milliseconds(5), next, now);
  gate.admit(makeRequest(next), now);
  gate.finish(next, GateOutcome::TimedOut, now + milliseconds(1));
  CHECK_EQUAL(12, gate.limit());
}

TEST(Gate, LimitIsNeverPassedWhateverHappens) {
  std::mt19937_64 random(3);
  gate.announce(makeTarget("boot-0"));
  std::set<CallId> running;
  const auto take = [&](const std::vector<QueueResult> &results) {
    for (const QueueResult &it : results)
      if (it.refusal == Refusal::None)
        running.insert(it.id);
  };
  for (int step = 0; step < 50'000; ++step) {
    now += milliseconds(random() % 3);
    const auto dice = random() % 100;
    if (dice < 55) {
      const auto admission =
          gate.admit(makeRequest(next, random() % 2 == 0), now);
      if (admission.kind == Admission::Kind::Admitted) {
        CHECK(running.size() < gate.limit());
        running.insert(next);
      }
      ++next;
    } else if (dice < 98 && !running.empty()) {
      const auto id =
          *std::next(running.begin(),
                     static_cast<std::ptrdiff_t>(random() % running.size()));
      running.erase(id);
      take(gate.finish(id, static_cast<GateOutcome>(random() % 6), now));
    } else if (dice == 98) {
      take(gate.expire(now));
    } else {
      gate.announce(makeTarget("boot-" + std::to_string(step / 5000)));
    }
    CHECK_EQUAL(running.size(), gate.inFlight());
    CHECK(gate.inFlight() <= 12);
  }
}

TEST(Gate, QueuedCallIsAdmittedWhenASlotIsFree) {
  gate.announce(makeTarget("a", 1, 1));
  gate.admit(makeRequest(1), now);
  CHECK(gate.admit(makeRequest(2), now).refusal == Refusal::Full);
  CHECK(gate.admit(makeRequest(3, true), now).kind == Admission::Kind::Queued);
  CHECK(gate.admit(makeRequest(4, true), now).refusal == Refusal::Full);
  const auto results = gate.finish(1, GateOutcome::Completed, now);
  CHECK_EQUAL(1, results.size());
  CHECK_EQUAL(3, results[0].id);
  CHECK(results[0].refusal == Refusal::None);
}

// Guards against a burst that an idle and quick target refuses.
TEST(Gate, BurstIsQueuedAsLongAsItsWaitIsShort) {
  gate.setBurstWait(milliseconds(50));
  gate.announce(makeTarget("a", 4, 4));
  gate.admit(makeRequest(next), now);
  now += milliseconds(5);
  gate.finish(next++, GateOutcome::Completed, now);
  // Four at once, and 50 ms of waiting at 5 ms a call.
  CHECK_EQUAL(4 + 4 * 50 / 5, countTaken());
}

TEST(Gate, OverloadThatLastsKeepsTheQueueShort) {
  gate.setBurstWait(milliseconds(50));
  gate.announce(makeTarget("a", 4, 4));
  gate.admit(makeRequest(next), now);
  now += milliseconds(5);
  gate.finish(next++, GateOutcome::Completed, now);
  std::vector<CallId> running;
  for (int round = 0; round < 100; ++round) {
    for (int n = 0; n < 12; ++n, ++next)
      if (gate.admit(makeRequest(next, true), now).kind ==
          Admission::Kind::Admitted)
        running.push_back(next);
    now += milliseconds(5);
    for (const CallId id : std::exchange(running, {}))
      for (const QueueResult &it : gate.finish(id, GateOutcome::Completed, now))
        running.push_back(it.id);
  }
  CHECK(gate.queued() <= 4);
}

TEST(Gate, QueueOfASlowTargetHoldsOneCallASlot) {
  gate.setBurstWait(milliseconds(50));
  gate.announce(makeTarget("a", 4, 4));
  gate.admit(makeRequest(next), now);
  now += milliseconds(200);
  gate.finish(next++, GateOutcome::Completed, now);
  CHECK_EQUAL(8, countTaken());
}

TEST(Gate, CallThatCannotMakeItsDeadlineInTheQueueIsRefusedEarly) {
  gate.announce(makeTarget("a", 1, 1));
  gate.admit(makeRequest(1), now);
  now += milliseconds(100);
  gate.finish(1, GateOutcome::Completed, now);
  gate.admit(makeRequest(2), now);
  GateRequest hasty = makeRequest(3, true);
  hasty.deadline = now + milliseconds(50);
  CHECK(gate.admit(hasty, now).refusal == Refusal::DeadlineTooClose);
}

TEST(Gate, QueueIsEmptiedWithProofWhenTheGateCloses) {
  for (const Refusal reason : {Refusal::DomainOut, Refusal::VmOut,
                               Refusal::NodeStopping, Refusal::Stale}) {
    Gate closing;
    closing.announce(makeTarget("a", 1, 1));
    closing.admit(makeRequest(1), now);
    closing.admit(makeRequest(2, true), now);
    closing.setClosedReason(reason);
    CHECK(closing.admit(makeRequest(3), now).refusal == reason);
    const auto results = closing.expire(now);
    CHECK_EQUAL(1, results.size());
    CHECK(results[0].refusal == reason);
    CHECK_EQUAL(1, closing.inFlight());
  }
}

TEST(Gate, LeavingTargetIsRefusedAtOnceAndAnHeartbeatDoesNotBringItBack) {
  gate.announce(makeTarget("a"));
  CHECK_FALSE(gate.leave("another start"));
  CHECK(gate.leave("a"));
  gate.announce(makeTarget("a"));
  CHECK(gate.admit(makeRequest(1), now).refusal == Refusal::TargetLeaving);
  gate.announce(makeTarget("b"));
  CHECK(gate.admit(makeRequest(2), now).kind == Admission::Kind::Admitted);
}

TEST(Gate, CallForAnotherServiceIsRefused) {
  gate.announce(makeTarget("a"));
  GateRequest other = makeRequest(1);
  other.service = "other";
  CHECK(gate.admit(other, now).refusal == Refusal::WrongService);
}

TEST(Gate, StalledCallShowsInTheExpectedLatency) {
  gate.announce(makeTarget("a"));
  gate.admit(makeRequest(1), now);
  CHECK(gate.expectedLatency(now + milliseconds(80)) >= milliseconds(80));
  gate.onAnswerHead(1, now + milliseconds(5));
  CHECK(gate.expectedLatency(now + milliseconds(80)) < milliseconds(80));
}

TEST(Gate, SlowTargetWithoutCallsIsTriedAgain) {
  gate.announce(makeTarget("a"));
  gate.admit(makeRequest(1), now);
  now += milliseconds(400);
  gate.finish(1, GateOutcome::Completed, now);
  CHECK(gate.expectedLatency(now) == milliseconds(400));
  CHECK(gate.expectedLatency(now + 4 * Gate::LatencyHalfLife) <=
        milliseconds(25));
}

TEST(Gate, GivenUpCallKeepsItsSlotUntilTheTargetLetsGo) {
  gate.announce(makeTarget("a"));
  for (CallId id = 1; id <= 3; ++id)
    gate.admit(makeRequest(id), now);
  gate.admit(makeRequest(4, true), now);
  gate.giveUp(1, GateOutcome::TimedOut, now + milliseconds(50));
  CHECK(gate.admit(makeRequest(5), now).refusal == Refusal::Full);
  CHECK_EQUAL(2, gate.inFlightNotGivenUp());
  CHECK_EQUAL(3, gate.inFlight());
  gate.finish(1, GateOutcome::Cancelled, now + milliseconds(90));
  CHECK_EQUAL(gate.limit(), gate.inFlight());
}
