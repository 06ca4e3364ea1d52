/** \file
 * Membership under loss, cuts, freezes and replacement. */
#include "node/SeedTask.h"
#include "support/MembershipWire.h"

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Membership){};

TEST(Membership, EveryoneLearnsOfEveryoneFromOneSeed) {
  MembershipWire wire(20);
  CHECK(wire.runUntil([&] { return wire.doAllSee(20); }, seconds(30)));
}

TEST(Membership, NodeThatKnowsFewJoinsManySeedsAtOnce) {
  // Those it has met may have started as late as itself, and know as little.
  CHECK_EQUAL(SeedTask::MaxJoinsPerInterval, SeedTask::joinsPerInterval(3, 9));
  CHECK_EQUAL(1, SeedTask::joinsPerInterval(9, 9));
  // A whole fleet is large, and one node tells of all of it.
  CHECK_EQUAL(1, SeedTask::joinsPerInterval(7'500, 33));
}

TEST(Membership, KilledMemberIsFoundDeadByAll) {
  MembershipWire wire(12);
  CHECK(wire.runUntil([&] { return wire.doAllSee(12); }, seconds(30)));
  wire.stop(3);
  CHECK(wire.runUntil([&] { return wire.doAllSee(11); }, seconds(30)));
  wire.forEachOther(3, [&](const Membership &it) {
    CHECK(it.find(wire.address(3))->liveness == Liveness::Dead);
  });
}

TEST(Membership, ThirtyPercentLossEvictsNobody) {
  MembershipWire wire(20);
  CHECK(wire.runUntil([&] { return wire.doAllSee(20); }, seconds(30)));
  wire.lossPercent = 30;
  unsigned deaths = 0;
  wire.onChange = [&](const MemberChange &change) {
    if (change.after.liveness == Liveness::Dead)
      ++deaths;
  };
  wire.run(seconds(120));
  // A member may be buried wrongly for a moment, and refutes it. A mass
  // eviction would bury many at many.
  CHECK(deaths <= 20);
  wire.lossPercent = 0;
  CHECK(wire.runUntil([&] { return wire.doAllSee(20); }, seconds(30)));
}

TEST(Membership, OneWayCutEvictsNobodyWhoCanBeReachedThroughOthers) {
  MembershipWire wire(10);
  CHECK(wire.runUntil([&] { return wire.doAllSee(10); }, seconds(30)));
  unsigned deaths = 0;
  wire.onChange = [&](const MemberChange &change) {
    if (change.after.liveness == Liveness::Dead)
      ++deaths;
  };
  wire.isCut = [](std::size_t from, std::size_t to) {
    return from == 2 && to == 7;
  };
  wire.run(seconds(60));
  CHECK_EQUAL(0, deaths);
}

TEST(Membership, FrozenMemberIsBuriedAndReturnsWithNewTruth) {
  MembershipWire wire(8);
  CHECK(wire.runUntil([&] { return wire.doAllSee(8); }, seconds(30)));
  wire.freeze(2);
  CHECK(wire.runUntil([&] { return wire.doOthersSee(2, 7); }, seconds(30)));
  wire.stop(5);
  wire.run(seconds(10));
  const auto before = wire.member(2).self().incarnation;
  wire.thaw(2);
  CHECK(wire.runUntil(
      [&] {
        return wire.doOthersSee(5, 7) && wire.member(2).presentCount() == 7;
      },
      seconds(30)));
  CHECK(wire.member(2).self().incarnation > before);
  CHECK(wire.member(0).find(wire.address(5))->liveness == Liveness::Dead);
}

TEST(Membership, ReplacedVmAtTheSameAddressIsANewMember) {
  MembershipWire wire(6);
  CHECK(wire.runUntil([&] { return wire.doAllSee(6); }, seconds(30)));
  wire.replace(4, 100);
  CHECK(wire.runUntil(
      [&] { return wire.member(0).find(wire.address(4))->generation == 100; },
      seconds(30)));
}

TEST(Membership, ProcessWithAClockSetBackStillTakesOverItsAddress) {
  MembershipWire wire(6);
  CHECK(wire.runUntil([&] { return wire.doAllSee(6); }, seconds(30)));
  const auto old = wire.member(4).self().generation;
  wire.replace(4, 0);
  CHECK(wire.runUntil(
      [&] {
        return wire.member(0).find(wire.address(4))->generation > old &&
               wire.doAllSee(6);
      },
      seconds(30)));
}

TEST(Membership, LateNewsOfAnOldLifeChangesNothing) {
  MembershipWire wire(3);
  CHECK(wire.runUntil([&] { return wire.doAllSee(3); }, seconds(30)));
  Member old = wire.member(1).self();
  wire.replace(1, 50);
  wire.runUntil(
      [&] { return wire.member(0).find(wire.address(1))->generation == 50; },
      seconds(30));
  wire.member(0).merge({old}, true, wire.now());
  old.liveness = Liveness::Dead;
  old.incarnation = 1000;
  wire.member(0).merge({old}, true, wire.now());
  CHECK(wire.member(0).find(wire.address(1))->liveness == Liveness::Alive);
  CHECK_EQUAL(50, wire.member(0).find(wire.address(1))->generation);
}

TEST(Membership, LeavingMemberIsKnownToAllWithoutASuspicion) {
  MembershipWire wire(30);
  CHECK(wire.runUntil([&] { return wire.doAllSee(30); }, seconds(30)));
  wire.member(9).leave();
  CHECK(wire.runUntil([&] { return wire.doOthersSee(9, 29); }, seconds(3)));
  wire.forEachOther(9, [&](const Membership &it) {
    CHECK(it.find(wire.address(9))->liveness == Liveness::Left);
  });
}

TEST(Membership, PartsOfACutFleetMeetAgain) {
  MembershipWire wire(10);
  CHECK(wire.runUntil([&] { return wire.doAllSee(10); }, seconds(30)));
  wire.isCut = [](std::size_t from, std::size_t to) {
    return (from < 5) != (to < 5);
  };
  CHECK(wire.runUntil([&] { return wire.doAllSee(5); }, seconds(60)));
  wire.isCut = nullptr;
  CHECK(wire.runUntil([&] { return wire.doAllSee(10); }, seconds(120)));
}

TEST(Membership, DifferingBucketsAreFoundAndEqualOnesAreNotSent) {
  MembershipWire wire(15);
  CHECK(wire.runUntil([&] { return wire.doAllSee(15); }, seconds(30)));
  wire.run(seconds(20));
  CHECK(wire.member(0).membersThatDiffer(wire.member(1).digests()).empty());
  wire.member(1).setTarget({"s", {"127.0.0.1", 5}, 1, 1, 1, "b", "", {}});
  const auto differing =
      wire.member(1).membersThatDiffer(wire.member(0).digests());
  CHECK_FALSE(differing.empty());
  CHECK(differing.size() < 5);
}

TEST(Membership, JoiningNodeSpreadsItselfAndNotTheWholeFleet) {
  MembershipWire wire(40);
  CHECK(wire.runUntil([&] { return wire.doAllSee(40); }, seconds(30)));
  wire.run(seconds(60));
  wire.replace(7, 100);
  CHECK(wire.member(7).presentCount() == 40);
  CHECK_EQUAL(1, wire.member(7).pendingUpdates());
  CHECK(wire.runUntil(
      [&] { return wire.member(30).find(wire.address(7))->generation == 100; },
      seconds(10)));
}

// Guards against a group of nodes that is cut off from the rest, whose members
// hear from one another and hold themselves for connected.
TEST(Membership, NodesThatReachOnlyAFewAreInDoubtWithinTwoProbes) {
  MembershipWire wire(20);
  CHECK(wire.runUntil([&] { return wire.doAllSee(20); }, seconds(30)));
  wire.run(seconds(5));
  for (std::size_t n = 0; n < 3; ++n)
    CHECK_FALSE(wire.member(n).isInDoubt());
  wire.isCut = [](std::size_t from, std::size_t to) {
    return (from < 3) != (to < 3);
  };
  const auto areInDoubt = [&] {
    return wire.member(0).isInDoubt() && wire.member(1).isInDoubt() &&
           wire.member(2).isInDoubt();
  };
  CHECK(wire.runUntil(areInDoubt, 3 * Membership::ProbeInterval));
  wire.isCut = nullptr;
  CHECK(wire.runUntil(
      [&] {
        return !wire.member(0).isInDoubt() && !wire.member(1).isInDoubt() &&
               !wire.member(2).isInDoubt();
      },
      seconds(30)));
}

// Guards against a dead member that is not found again, as the draws among the
// absent mostly meet members that have left.
TEST(Membership, DeadMemberIsProbedThoughManyHaveLeft) {
  constexpr std::size_t LeftCount = 50;
  constexpr unsigned Intervals = 4;
  const TimePoint start = TimePoint(std::chrono::hours(1));
  const auto makeRecord = [](std::uint16_t port, Liveness liveness) {
    Member member;
    member.peersAddress = {"127.0.0.1", port};
    member.liveness = liveness;
    return member;
  };
  Membership membership(makeRecord(1, Liveness::Alive), 1);
  std::vector<Member> records{makeRecord(2, Liveness::Dead)};
  for (std::size_t n = 0; n < LeftCount; ++n)
    records.push_back(
        makeRecord(static_cast<std::uint16_t>(3 + n), Liveness::Left));
  membership.merge(records, false, start);
  unsigned probes = 0;
  for (unsigned n = 1; n <= Intervals; ++n) {
    const auto out = membership.tick(start + n * Membership::DeadProbeInterval);
    probes += static_cast<unsigned>(
        std::ranges::count_if(out, [](const OutgoingMessage &it) {
          return std::holds_alternative<Ping>(it.body);
        }));
  }
  CHECK_EQUAL(Intervals, probes);
}
