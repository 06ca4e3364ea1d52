/** \file
 * The soak's judge finds each kind of broken promise, and none where there is
 * none. */
#include "soak/PromiseLedger.h"
#include "soak/SoakPlan.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));

} // namespace

TEST_GROUP(PromiseLedger) {
  PromiseLedger ledger;

  void send(const std::string &call, bool isRepeatable = true,
            TimePoint at = Start) {
    ledger.sent(call, isRepeatable, 0, at);
  }
  void run(const std::string &call, TimePoint at = Start) {
    ledger.ran(call, "target", "zone", 0, at);
  }
  void serve(const std::string &call) {
    ledger.answered(call, 200, "whole " + call, Start);
  }
  void checkOne(const std::string &promise) {
    const auto found = ledger.findBroken();
    CHECK_EQUAL(1, found.size());
    STRCMP_CONTAINS(promise.c_str(), found[0].c_str());
  }
};

TEST(PromiseLedger, ServedCallBreaksNothing) {
  send("a");
  run("a");
  serve("a");
  CHECK(ledger.findBroken().empty());
  CHECK_EQUAL(1, ledger.servedCount());
}

TEST(PromiseLedger, SecondRunOfAnUnsafeCallIsFound) {
  send("a", false);
  run("a");
  run("a");
  serve("a");
  checkOne("once:");
}

TEST(PromiseLedger, SecondRunOfACallThatWasGivenUpIsFound) {
  send("a", false);
  run("a");
  ledger.gaveUp("a", Start);
  CHECK(ledger.findBroken().empty());
  run("a", Start + seconds(1));
  checkOne("once:");
}

TEST(PromiseLedger, RefusalOfACallThatRunsLaterIsFound) {
  send("a", false);
  ledger.answered("a", 503, "full\n", Start);
  run("a", Start + seconds(3));
  checkOne("not-run:");
}

TEST(PromiseLedger, AnswerToAnotherCallIsFound) {
  send("a");
  run("a");
  ledger.answered("a", 200, "whole b", Start);
  checkOne("whole:");
}

TEST(PromiseLedger, CallThatNobodySentIsFound) {
  run("a");
  checkOne("unasked:");
}

TEST(PromiseLedger, WorkAfterAnAcknowledgedLeaveIsFound) {
  ledger.leaveAcknowledged("target", Start);
  for (const auto &[call, at] : {std::pair{"early", Start + seconds(1)},
                                 std::pair{"late", Start + seconds(3)}}) {
    send(call);
    run(call, at);
    serve(call);
  }
  checkOne("leave: target got late");
}

TEST(PromiseLedger, WorkInADomainThatWentOutIsFoundAtCalmNodesOnly) {
  ledger.domainTakenOut("zone", Start);
  send("a");
  run("a", Start + seconds(6));
  serve("a");
  checkOne("domain-out:");

  PromiseLedger disturbed;
  disturbed.domainTakenOut("zone", Start);
  disturbed.disturbed(0, Disturbance::Node, Start + seconds(5),
                      Start + seconds(7));
  disturbed.sent("a", true, 0, Start);
  disturbed.ran("a", "target", "zone", 0, Start + seconds(6));
  disturbed.answered("a", 200, "whole a", Start);
  CHECK(disturbed.findBroken().empty());
  // What befalls its target keeps no node from knowing.
  PromiseLedger shedding;
  shedding.domainTakenOut("zone", Start);
  shedding.disturbed(0, Disturbance::Target, Start, Start + seconds(7));
  shedding.sent("a", true, 0, Start);
  shedding.ran("a", "target", "zone", 0, Start + seconds(6));
  shedding.answered("a", 200, "whole a", Start);
  CHECK_EQUAL(1, shedding.findBroken().size());
}

TEST(PromiseLedger, VersionThatGoesBackInOneStartIsFound) {
  ledger.servedVersion("node-0.1", 5, Start, Start + seconds(1));
  // Sent before the newer version was seen, and by another start.
  ledger.servedVersion("node-0.1", 4, Start, Start + seconds(2));
  ledger.servedVersion("node-0.2", 4, Start + seconds(2), Start + seconds(3));
  CHECK(ledger.findBroken().empty());
  ledger.servedVersion("node-0.1", 4, Start + seconds(2), Start + seconds(3));
  checkOne("version:");
}

TEST(PromiseLedger, ColdTargetThatGetsTooMuchInASecondIsFound) {
  const PromiseBounds bounds;
  ledger.becameCold("target", Start + seconds(10));
  for (std::size_t n = 0; n <= bounds.coldCallsPerSecond; ++n) {
    const std::string call = "c" + std::to_string(n);
    const TimePoint at = Start + n * milliseconds(20);
    send(call, true, at);
    run(call, at);
    serve(call);
  }
  checkOne("cold:");
}

TEST(PromiseLedger, CutAroundPlannedWorkIsFoundAndUnderFaultsIsAllowed) {
  ledger.disturbed(0, Disturbance::Planned, Start, Start + seconds(6));
  send("a", true, Start + seconds(1));
  run("a", Start + seconds(1));
  ledger.cut("a", Start + seconds(2));
  checkOne("planned:");
  ledger.disturbed(1, Disturbance::Node, Start, Start + seconds(1));
  CHECK(ledger.findBroken().empty());
}

TEST(PromiseLedger, CutsAtACalmNodeAreFoundBeyondTheFewAllowed) {
  const PromiseBounds bounds;
  for (std::size_t n = 0; n <= bounds.cutCalls; ++n) {
    const std::string call = "c" + std::to_string(n);
    send(call);
    run(call);
    CHECK(ledger.findBroken().size() == 1);
    ledger.cut(call, Start + milliseconds(100));
    CHECK_EQUAL(n == bounds.cutCalls ? n + 1 : 0, ledger.findBroken().size());
  }
}

TEST(PromiseLedger, CallWithoutAnEndIsFound) {
  send("a");
  checkOne("end:");
}

TEST_GROUP(SoakPlan){};

TEST(SoakPlan, EqualSeedsGiveEqualPlansAndOthersDoNot) {
  const auto toTimes = [](std::uint64_t seed) {
    std::vector<Duration> times;
    for (const FaultStep &it : drawPlan(seed, 4, seconds(30)))
      times.push_back(it.at);
    return times;
  };
  CHECK(toTimes(7) == toTimes(7));
  CHECK(toTimes(7) != toTimes(8));
}

TEST(SoakPlan, EvenSeedsLeaveTheStoreAndTheNodesAlone) {
  const std::vector<FaultStep> plan = drawPlan(2, 4, seconds(30));
  CHECK(std::ranges::all_of(plan, [](const FaultStep &it) {
    return isPlanned(it.kind) || it.kind >= FaultKind::TargetLinkReset;
  }));
  CHECK(std::ranges::any_of(plan, [](const FaultStep &it) {
    return it.kind == FaultKind::DomainOut && it.length >= seconds(6);
  }));
}

TEST(SoakPlan, EachKindStrikesAndTheEndIsLeftForRecovery) {
  std::vector<unsigned> counts(
      static_cast<std::size_t>(FaultKind::ChangeConfiguration) + 1);
  for (std::uint64_t seed = 0; seed < 40; ++seed)
    for (const FaultStep &it : drawPlan(seed, 4, seconds(30))) {
      ++counts.at(static_cast<std::size_t>(it.kind));
      CHECK(it.machine < 4);
      CHECK(it.at + it.length <= seconds(24));
    }
  CHECK(std::ranges::all_of(counts, [](unsigned n) { return n > 0; }));
}
