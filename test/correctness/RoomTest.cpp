/** \file
 * Who waits and who is turned away at a target that has too little room. */
#include "process/Gate.h"
#include "process/RoomPlan.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

WaitingCall makeCall(const std::string &group, milliseconds dueIn,
                     milliseconds work, unsigned priority = 0) {
  const TimePoint dueAt = Start + dueIn;
  return {group, priority, false, dueAt, dueAt + 2 * dueIn, work, work / 2, {}};
}

Room oneSlot(std::size_t capacity = 10) { return {Start, 1, {}, {}, capacity}; }

std::vector<std::size_t> orderOf(const std::vector<WaitingCall> &calls,
                                 const Room &room) {
  return planRoom(calls, room).order;
}

using Places = std::vector<std::size_t>;

} // namespace

TEST_GROUP(Room){};

TEST_GROUP(RoomWait){};

// Load: a few calls of two ranks, and room for all of them in time.
TEST(Room, MoreUrgentCallsGoFirstIfAllAreInTime) {
  CHECK(orderOf({makeCall("b", milliseconds(900), milliseconds(100), 2),
                 makeCall("a", milliseconds(900), milliseconds(100), 0)},
                oneSlot()) == (Places{1, 0}));
}

// Load: a call that is due soon, behind one that has time.
TEST(Room, CallThatWouldBeLateGoesBeforeOneThatStaysInTime) {
  CHECK(orderOf({makeCall("a", milliseconds(900), milliseconds(200), 0),
                 makeCall("b", milliseconds(150), milliseconds(100), 2)},
                oneSlot()) == (Places{1, 0}));
}

TEST(Room, LessUrgentCallDoesNotMakeAMoreUrgentOneLate) {
  CHECK(orderOf({makeCall("a", milliseconds(250), milliseconds(200), 0),
                 makeCall("b", milliseconds(150), milliseconds(100), 2)},
                oneSlot()) == (Places{0, 1}));
}

// Load: twice the work that fits before the calls are due.
TEST(Room, AsManyCallsAsFitAreInTimeAndTheLongOneIsLate) {
  const std::vector<WaitingCall> calls{
      makeCall("long", milliseconds(400), milliseconds(380)),
      makeCall("a", milliseconds(400), milliseconds(130)),
      makeCall("b", milliseconds(400), milliseconds(130)),
      makeCall("c", milliseconds(400), milliseconds(130))};
  CHECK(orderOf(calls, oneSlot()) == (Places{1, 2, 3, 0}));
}

TEST(Room, CallThatCannotBeAnsweredBeforeItsDeadlineDoesNotWait) {
  std::vector<WaitingCall> calls{
      makeCall("a", milliseconds(100), milliseconds(100)),
      makeCall("a", milliseconds(100), milliseconds(100))};
  calls[1].deadline = Start + milliseconds(150);
  const RoomPlan plan = planRoom(calls, oneSlot());
  CHECK(plan.order == Places{0});
  CHECK(plan.tooLate == Places{1});
  calls[1].deadline = Start + milliseconds(151);
  CHECK(planRoom(calls, oneSlot()).order == (Places{0, 1}));
}

// Load: a late call, and more and more calls that would be late behind it.
TEST(Room, LateCallIsNotPutOffPastItsDeadline) {
  std::vector<WaitingCall> calls{
      makeCall("late", milliseconds(1), milliseconds(100))};
  calls[0].deadline = Start + milliseconds(151);
  for (unsigned n = 0; n < 5; ++n)
    calls.push_back(
        makeCall("a", milliseconds(120 + 100 * n), milliseconds(100), 0));
  const Places order = orderOf(calls, oneSlot());
  CHECK(std::ranges::find(order, 0U) - order.begin() <= 1);
}

// Load: one team sends many times its usual, others what they always do.
TEST(Room, TeamThatSendsManyTimesItsUsualIsTurnedAwayFirst) {
  std::vector<WaitingCall> calls(
      12, makeCall("hot", milliseconds(5'000), milliseconds(100)));
  calls.push_back(makeCall("usual", milliseconds(5'000), milliseconds(100)));
  calls.push_back(makeCall("other", milliseconds(5'000), milliseconds(100)));
  const RoomPlan plan = planRoom(calls, oneSlot(4));
  CHECK_EQUAL(4, plan.order.size());
  for (const std::size_t place : {12U, 13U})
    CHECK(std::ranges::find(plan.order, place) != plan.order.end());
  CHECK(std::ranges::all_of(plan.noRoom, [](auto it) { return it < 12; }));
}

TEST(Room, WhatAGroupHasHadLatelyCountsAgainstIt) {
  std::vector<WaitingCall> calls{
      makeCall("a", milliseconds(900), milliseconds(100)),
      makeCall("b", milliseconds(900), milliseconds(100))};
  calls[0].groupHasUsed = milliseconds(300);
  CHECK(orderOf(calls, oneSlot()) == (Places{1, 0}));
}

// Load: calls of callers and calls that running requests make, of one length.
TEST(Room, CallOfARunGoesBeforeACallersOwn) {
  std::vector<WaitingCall> calls{
      makeCall("a", milliseconds(900), milliseconds(100)),
      makeCall("b", milliseconds(900), milliseconds(100))};
  calls[1].isNested = true;
  CHECK(orderOf(calls, oneSlot()) == (Places{1, 0}));
}

TEST(RoomWait, LimitedRateOfStartsCountsAsWaiting) {
  const std::vector<WaitingCall> calls{
      makeCall("a", milliseconds(1'000), milliseconds(10)),
      makeCall("b", milliseconds(100), milliseconds(10), 1)};
  Room room = oneSlot();
  CHECK(orderOf(calls, room) == (Places{0, 1}));
  room.leastSpacing = milliseconds(200);
  CHECK(orderOf(calls, room) == (Places{1, 0}));
}

TEST(Room, LedgerTellsWorkFromTheSpeedOfTheTarget) {
  RoomLedger ledger;
  for (unsigned n = 0; n < 15; ++n)
    ledger.onAnswered("a", milliseconds(400), 4);
  CHECK(!ledger.workOf("a"));
  ledger.onAnswered("a", milliseconds(400), 4);
  const auto work = ledger.workOf("a");
  CHECK(work.has_value());
  CHECK(work && work->mean == milliseconds(100));
  CHECK(work && work->least == milliseconds(100));
  ledger.onAnswered("a", milliseconds(60), 1);
  CHECK(ledger.workOf("a")->least == milliseconds(60));
}

TEST(Room, LedgerForgetsWhoUsedLeast) {
  RoomLedger ledger;
  for (std::size_t n = 0; n < RoomLedger::MaxEntries; ++n)
    ledger.onStarted(std::to_string(n), milliseconds(n + 1), Start);
  ledger.onStarted("new", milliseconds(10), Start);
  CHECK(ledger.usedBy("0", Start) == Duration{});
  CHECK(ledger.usedBy("1", Start) == milliseconds(2));
  CHECK(ledger.usedBy("1", Start + RoomLedger::HalfLife) == milliseconds(1));
}

namespace {

/** A gate at a target that takes 100 ms for each call, and callers that keep
 * it at several times what it can do. */
class Overload {
public:
  explicit Overload(unsigned slots) {
    Target target;
    target.service = "s";
    target.bootId = "boot";
    target.slots = target.coldSlots = static_cast<std::uint16_t>(slots);
    gate.announce(target);
  }

  struct Source {
    std::string group;
    unsigned priority = 0;
    milliseconds every{10};
    milliseconds dueIn{500};
  };
  struct Count {
    unsigned sent = 0;
    unsigned started = 0;
  };

  std::map<std::string, Count> run(const std::vector<Source> &sources,
                                   milliseconds span) {
    for (milliseconds at{0}; at < span; at += milliseconds(1)) {
      const TimePoint now = Start + at;
      finishDue(now);
      for (const Source &it : sources)
        if (at.count() % it.every.count() == 0)
          send(it, now);
    }
    return counts;
  }

private:
  static constexpr milliseconds Work{100};
  Gate gate;
  CallId nextId = 1;
  std::map<CallId, std::string> groups;
  std::map<CallId, TimePoint> endsAt;
  std::map<std::string, Count> counts;

  void send(const Source &source, TimePoint now) {
    GateRequest request;
    request.id = nextId++;
    request.service = "s";
    request.deadline = now + 4 * source.dueIn;
    request.mayQueue = true;
    request.priority = source.priority;
    request.dueAt = now + source.dueIn;
    request.kind = request.group = source.group;
    groups[request.id] = source.group;
    ++counts[source.group].sent;
    if (gate.admit(request, now).kind == Admission::Kind::Admitted)
      start(request.id, now);
  }

  void start(CallId id, TimePoint now) {
    ++counts[groups.at(id)].started;
    endsAt[id] = now + Work;
  }

  void finishDue(TimePoint now) {
    std::vector<CallId> due;
    for (const auto &[id, at] : endsAt)
      if (at <= now)
        due.push_back(id);
    for (const CallId id : due) {
      endsAt.erase(id);
      gate.onAnswerHead(id, now);
      for (const QueueResult &it : gate.finish(id, GateOutcome::Completed, now))
        if (it.refusal == Refusal::None)
          start(it.id, now);
    }
  }
};

} // namespace

// Load: more urgent calls alone are three times what the target can do.
TEST(Room, LessUrgentCallsAreNotStarved) {
  Overload overload(4);
  const auto counts = overload.run(
      {{"urgent", 0, milliseconds(8)}, {"other", 2, milliseconds(50)}},
      milliseconds(20'000));
  const auto shareOf = [&](const std::string &group) {
    return static_cast<double>(counts.at(group).started) /
           counts.at(group).sent;
  };
  CHECK(counts.at("urgent").started > 500);
  CHECK(counts.at("other").started > 20);
  CHECK(shareOf("urgent") * 2 > shareOf("other"));
}

// Load: a team with eight times its usual calls beside three that send theirs.
TEST(Room, TeamsThatSendTheirUsualKeepTheirShare) {
  Overload overload(4);
  const auto counts = overload.run({{"hot", 1, milliseconds(6)},
                                    {"a", 1, milliseconds(125)},
                                    {"b", 1, milliseconds(125)},
                                    {"c", 1, milliseconds(125)}},
                                   milliseconds(20'000));
  for (const char *const team : {"a", "b", "c"})
    CHECK(counts.at(team).started * 10 >= counts.at(team).sent * 9);
}

TEST(Room, CallThatCannotBeAnsweredInTimeIsNotStartedAtAFreeSlot) {
  Target target;
  target.service = "s";
  target.bootId = "boot";
  target.slots = target.coldSlots = 2;
  Gate gate;
  gate.announce(target);
  GateRequest request;
  request.service = "s";
  request.kind = request.group = "k";
  TimePoint now = Start;
  for (request.id = 1; request.id <= 16; ++request.id) {
    request.dueAt = now + milliseconds(100);
    request.deadline = now + milliseconds(200);
    CHECK(gate.admit(request, now).kind == Admission::Kind::Admitted);
    now += milliseconds(100);
    gate.onAnswerHead(request.id, now);
    gate.finish(request.id, GateOutcome::Completed, now);
  }
  request.dueAt = now + milliseconds(100);
  request.deadline = now + milliseconds(90);
  CHECK(gate.admit(request, now).refusal == Refusal::DeadlineTooClose);
  // Nothing is refused where it is not known when calls are due.
  request.dueAt.reset();
  CHECK(gate.admit(request, now).kind == Admission::Kind::Admitted);
}

// Guards against a kind that is refused for good, since what was seen of its
// work can only be corrected by an answer. KNOWN-RED.
TEST(Room, KindThatBecameFastIsNotRefusedForGood) {
  Target target;
  target.service = "s";
  target.bootId = "boot";
  target.slots = target.coldSlots = 2;
  Gate gate;
  gate.announce(target);
  GateRequest request;
  request.service = "s";
  request.kind = request.group = "k";
  TimePoint now = Start;
  for (request.id = 1; request.id <= 300; ++request.id) {
    request.dueAt = request.deadline = now + milliseconds(1'000);
    gate.admit(request, now);
    now += milliseconds(200);
    gate.onAnswerHead(request.id, now);
    gate.finish(request.id, GateOutcome::Completed, now);
  }
  now += std::chrono::minutes(1);
  request.dueAt = request.deadline = now + milliseconds(150);
  CHECK(gate.admit(request, now).kind == Admission::Kind::Admitted);
}

// Guards against a wait that is reckoned anew at each look, though the running
// call has nearly ended. KNOWN-RED.
TEST(RoomWait, WaitCountsWhatTheRunningCallHasDone) {
  Target target;
  target.service = "s";
  target.bootId = "boot";
  target.slots = target.coldSlots = 1;
  Gate gate;
  gate.announce(target);
  GateRequest request;
  request.service = "s";
  request.kind = request.group = "k";
  request.mayQueue = true;
  TimePoint now = Start;
  for (request.id = 1; request.id <= 40; ++request.id) {
    request.dueAt = request.deadline = now + milliseconds(1'000);
    gate.admit(request, now);
    now += milliseconds(100);
    gate.onAnswerHead(request.id, now);
    gate.finish(request.id, GateOutcome::Completed, now);
  }
  request.deadline = now + milliseconds(1'000);
  request.dueAt = request.deadline;
  gate.admit(request, now);
  ++request.id;
  request.dueAt = request.deadline = now + milliseconds(230);
  CHECK(gate.admit(request, now + milliseconds(10)).kind ==
        Admission::Kind::Queued);
  CHECK(gate.poll(now + milliseconds(90)).empty());
}
