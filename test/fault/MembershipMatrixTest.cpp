/** \file
 * Every fault at every step of a VM that joins or leaves and of a target that
 * announces itself, alone and two at a time. */
#include "operator/MainLoop.h"
#include "support/FaultFixture.h"
#include "support/FleetFaults.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr FaultParty Parties[] = {FaultParty::PlatformStore, FaultParty::Peer,
                                  FaultParty::Actor, FaultParty::ActorTarget};
constexpr milliseconds HoldTime{300};
constexpr double ShortRunMs = 2;
/** Longer than a stopping node waits in any case. */
constexpr double LongRunMs = 1'400;
constexpr milliseconds FaultTime{700};
constexpr milliseconds RepairLimit{40'000};
constexpr milliseconds Patience{6'000};

/** Time for a call that is refused by who leaves and runs elsewhere. */
FleetPlan makePatientPlan() {
  FleetPlan plan = makePlan(1, 2, {"--steady"});
  plan.rules = "service status path /status timeout 5s  # Test\n"
               "service release path /release timeout 5s  # Test\n";
  return plan;
}

/** One VM of four joins, leaves or announces itself again and again; another
 * one fails beside it, and a third takes the calls. */
class Matrix {
public:
  using Step = void (Matrix::*)(const FaultList &);

  Matrix()
      : fleet(makePatientPlan()),
        actor(fleet.vmOf("status", 1)), site{fleet,
                                             {actor},
                                             fleet.vmOf("release", 1),
                                             nullptr},
        entrance(fleet.vmOf("status", 0)) {
    CHECK(fleet.start());
  }

  void run(Step step, const char *name, const std::vector<FaultList> &rows) {
    for (const FaultList &faults : rows) {
      row = describe(faults, name);
      (this->*step)(faults);
      verify();
    }
  }

  void joinWhileItReadsTheSeeds(const FaultList &faults) {
    stopActor();
    fleet.setPlatform({{"mode", "late"}, {"delayMs", HoldTime.count()}});
    fleet.startNode(actor);
    fleet.startTarget(actor);
    strikeForAWhile(faults);
  }

  void joinWhenItKnowsOthers(const FaultList &faults) {
    stopActor();
    fleet.startNode(actor);
    CHECK_TEXT(Fleet::waitUntil([this] { return presentAt(actor) > 1; }),
               row.c_str());
    fleet.startTarget(actor);
    strikeForAWhile(faults);
  }

  void leaveWithCallsInProgress(const FaultList &faults) {
    const auto answers = startLongCalls();
    const int leaving = targetId();
    signalTarget(SIGTERM);
    strikeForAWhile(faults);
    verifyLongCalls(*answers, faults);
    replaceTarget(leaving);
  }

  void stopNodeWithCallsInProgress(const FaultList &faults) {
    const auto answers = startLongCalls();
    const int stopping = fleet.vms[actor]->node->id();
    fleet.vms[actor]->node->signal(SIGTERM);
    strikeForAWhile(faults);
    verifyLongCalls(*answers, faults);
    replaceNode(stopping);
  }

  void leaveAndBeGone(const FaultList &faults) {
    const int leaving = targetId();
    signalTarget(SIGTERM);
    fleet.vms[actor]->targetProcess->wait();
    strikeForAWhile(faults);
    replaceTarget(leaving);
  }

  void announceToAFrozenNode(const FaultList &faults) {
    fleet.vms[actor]->targetProcess->kill();
    fleet.vms[actor]->node->signal(SIGSTOP);
    fleet.startTarget(actor);
    strikeAll(faults, site);
    if (!strikes(faults, FaultParty::Actor))
      fleet.vms[actor]->node->signal(SIGCONT);
    pause(FaultTime);
    mendAll(faults, site);
  }

  void announceAndBeKnown(const FaultList &faults) {
    const std::string before = bootIdAtGate();
    fleet.vms[actor]->targetProcess->kill();
    fleet.startTarget(actor);
    CHECK_TEXT(Fleet::waitUntil([&] {
                 const std::string now = bootIdAtGate();
                 return !now.empty() && now != before;
               }),
               row.c_str());
    strikeForAWhile(faults);
  }

private:
  Fleet fleet;
  const std::size_t actor;
  FaultSite site;
  const std::size_t entrance;
  std::string row;

  /** Answers to calls of which some are at the actor's target. */
  struct LongCalls {
    std::vector<HttpAnswer> answers;
    std::vector<GObjectPtr<GCancellable>> handles;
  };

  std::size_t presentAt(std::size_t vm) {
    const json state = fleet.status(vm);
    return state.is_null() ? 0 : state.at("present").get<std::size_t>();
  }

  /** What the actor's target has counted; 0 while it does not answer. */
  std::uint64_t countAt(const char *name) {
    const json stats = fleet.targetStats(actor);
    return stats.is_null() ? 0 : stats.at(name).get<std::uint64_t>();
  }

  void signalTarget(int number) {
    fleet.vms[actor]->targetProcess->signal(number);
  }

  void stopActor() {
    fleet.vms[actor]->node->signal(SIGTERM);
    fleet.vms[actor]->node->wait();
    fleet.vms[actor]->targetProcess->kill();
    CHECK_TEXT(Fleet::waitUntil([this] {
                 return fleet.status(entrance).value("present", 0U) ==
                        fleet.vms.size() - 1;
               }),
               row.c_str());
  }

  std::string bootIdAtGate() {
    const json state = fleet.status(actor);
    return state.is_null() ? std::string()
                           : state.at("gate").at("bootId").get<std::string>();
  }

  /** Others go on serving meanwhile. */
  void strikeForAWhile(const FaultList &faults) {
    strikeAll(faults, site);
    CHECK_TEXT(Fleet::waitUntil([this] {
                 return fleet.http.get(fleet.vms[entrance]->callers, "/status")
                            .status == 200;
               }),
               row.c_str());
    pause(FaultTime);
    mendAll(faults, site);
  }

  std::shared_ptr<LongCalls> startLongCalls() {
    for (const std::size_t vm : {actor, entrance})
      fleet.setTarget(vm, {{"serviceMs", LongRunMs}});
    auto calls = std::make_shared<LongCalls>();
    CHECK_TEXT(Fleet::waitUntil([&] {
                 startLongCall(calls);
                 return countAt("running") > 0;
               }),
               row.c_str());
    return calls;
  }

  void startLongCall(const std::shared_ptr<LongCalls> &calls) {
    calls->handles.push_back(fleet.http.sendAsync(
        fleet.vms[entrance]->callers, "POST", "/status/long", {}, "order",
        Patience, [calls](HttpAnswer answer) {
          calls->answers.push_back(std::move(answer));
        }));
  }

  /** Whoever leaves finishes what it has, unless it was struck itself; what it
   * refuses may find no room elsewhere. */
  void verifyLongCalls(const LongCalls &calls, const FaultList &faults) {
    CHECK_TEXT(Fleet::waitUntil([&] {
                 return calls.answers.size() == calls.handles.size();
               }),
               row.c_str());
    if (strikes(faults, FaultParty::Actor) ||
        strikes(faults, FaultParty::ActorTarget))
      return;
    std::size_t answered = 0;
    for (const HttpAnswer &answer : calls.answers) {
      const std::string outcome = outcomeOf(answer);
      CHECK_TEXT(outcome == "answer" || outcome == "not-run",
                 (row + ": " + answer.body).c_str());
      if (outcome == "answer")
        ++answered;
    }
    CHECK_TEXT(answered > 0, row.c_str());
  }

  int targetId() const { return fleet.vms[actor]->targetProcess->id(); }

  void awaitEnd(const ChildProcess &process) {
    CHECK_TEXT(Fleet::waitUntil([&] { return !process.isRunning(); }),
               row.c_str());
  }

  /** What leaves ends, unless it was killed and replaced meanwhile. */
  void replaceTarget(int leaving) {
    if (targetId() != leaving)
      return;
    awaitEnd(*fleet.vms[actor]->targetProcess);
    fleet.startTarget(actor);
  }

  void replaceNode(int stopping) {
    if (fleet.vms[actor]->node->id() != stopping)
      return;
    awaitEnd(*fleet.vms[actor]->node);
    fleet.startNode(actor);
  }

  /** Everyone knows everyone and the version, each node serves, and the actor's
   * target gets work. */
  void verify() {
    fleet.setTarget(entrance, {{"serviceMs", ShortRunMs}});
    const bool isRepaired =
        Fleet::waitUntil([this] { return fleet.isComplete(); }, RepairLimit);
    CHECK_TEXT(isRepaired, row.c_str());
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
      CHECK_EQUAL_TEXT(1, fleet.status(vm).value("version", 0), row.c_str());
      CHECK_EQUAL_TEXT(200,
                       fleet.http.get(fleet.vms[vm]->callers, "/status").status,
                       row.c_str());
    }
    CHECK_TEXT(Fleet::waitUntil([this] {
                 fleet.http.get(fleet.vms[actor]->callers, "/status");
                 return countAt("runs") > 0;
               }),
               row.c_str());
    CHECK_EQUAL_TEXT(0, countAt("overruns"), row.c_str());
  }
};

constexpr std::size_t PairDistance = 5;

} // namespace

TEST_GROUP(JoinMatrix){};
TEST_GROUP(LeaveMatrix){};
TEST_GROUP(AnnounceMatrix){};

TEST(JoinMatrix, VmThatJoinsIsFoundWhateverFailsAtAnyStep) {
  Matrix matrix;
  const auto rows = faultsOf(Parties);
  matrix.run(&Matrix::joinWhileItReadsTheSeeds, "joining, reading the seeds",
             rows);
  matrix.run(&Matrix::joinWhenItKnowsOthers, "joining, others known", rows);
}

TEST(LeaveMatrix, VmThatLeavesFinishesItsCallsWhateverElseFails) {
  Matrix matrix;
  const auto rows = faultsOf(Parties);
  matrix.run(&Matrix::leaveWithCallsInProgress, "target leaving", rows);
  matrix.run(&Matrix::stopNodeWithCallsInProgress, "node stopping", rows);
  matrix.run(&Matrix::leaveAndBeGone, "target gone", rows);
}

TEST(AnnounceMatrix, TargetThatAnnouncesItselfIsServedWhateverFails) {
  Matrix matrix;
  const auto rows = faultsOf(Parties);
  matrix.run(&Matrix::announceToAFrozenNode, "announcing to a frozen node",
             rows);
  matrix.run(&Matrix::announceAndBeKnown, "announced", rows);
}

TEST(AnnounceMatrix, TargetThatAnnouncesItselfIsServedThoughTwoThingsFail) {
  Matrix matrix;
  matrix.run(&Matrix::announceAndBeKnown, "announced",
             faultPairsOf(Parties, PairDistance));
}
