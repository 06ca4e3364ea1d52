/** \file
 * Moves, leaving targets and planned stops under load. */
#include "base/Settings.h"
#include "support/BackgroundCallers.h"
#include "support/FaultFixture.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <array>
#include <thread>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

void checkAllAnswered(const json &report, const char *text) {
  CHECK_TEXT(report.at("sent").get<int>() > 0, text);
  CHECK_TEXT(report.at("sent") == report.at("answered"),
             (text + report.dump()).c_str());
  CHECK_EQUAL_TEXT(0, report.at("wrong").get<int>(), text);
}

unsigned runsOf(Fleet &fleet, std::size_t vm) {
  return fleet.targetStats(vm).at("runs").get<unsigned>();
}

/** Two operators at once; the one who loses the race tries again. */
void moveBoth(Fleet &fleet, const std::string &direction) {
  std::array<std::string, 2> versions;
  std::vector<std::thread> operators;
  operators.reserve(versions.size());
  for (std::size_t n = 0; n < versions.size(); ++n)
    operators.emplace_back([&, n] {
      CommandOutput moved;
      do
        moved =
            fleet.command({"domain", direction, "domain-" + std::to_string(n),
                           "--who", "Operator " + std::to_string(n)});
      while (moved.code != 0);
      versions[n] = versionIn(moved);
    });
  for (std::thread &it : operators)
    it.join();
  CHECK(versions[0] != versions[1]);
  for (const std::string &version : versions)
    CHECK_EQUAL(0, fleet.command({"wait", version, "--timeout", "20"}).code);
}

} // namespace

TEST_GROUP(MovesAndStops){};

TEST(MovesAndStops, DomainOutLosesNoCallAndStopsNewWork) {
  Fleet fleet(makePlan(3, 1));
  CHECK(fleet.start());
  BackgroundCallers callers(fleet.callers(), {"--rate", "300", "--ms", "6000"});
  const auto vm = fleet.vmOf("status");
  CHECK(Fleet::waitUntil([&] { return runsOf(fleet, vm) > 50; }));
  const auto moved =
      fleet.command({"domain", "out", "domain-0", "--who", "Night shift"});
  CHECK_EQUAL(
      0, fleet.command({"wait", versionIn(moved), "--timeout", "20"}).code);
  CHECK(Fleet::waitUntil(
      [&] { return fleet.targetStats(vm).at("running") == 0; }));
  const unsigned before = runsOf(fleet, vm);
  // Other targets have taken many calls since, and this one none.
  const auto other = fleet.vmOf("status", 1);
  const unsigned otherBefore = runsOf(fleet, other);
  CHECK(Fleet::waitUntil(
      [&] { return runsOf(fleet, other) > otherBefore + 50; }));
  CHECK_EQUAL(before, runsOf(fleet, vm));
  const auto returned =
      fleet.command({"domain", "in", "domain-0", "--who", "Day shift"});
  CHECK_EQUAL(
      0, fleet.command({"wait", versionIn(returned), "--timeout", "20"}).code);
  CHECK(Fleet::waitUntil([&] { return runsOf(fleet, vm) > before; }));
  checkAllAnswered(callers.finish(), "domain out and in");
}

TEST(MovesAndStops, AcceptedMoveHoldsThoughTheStoreGoesDownRightAfter) {
  Fleet fleet(makePlan(4, 1));
  CHECK(fleet.start());
  BackgroundCallers callers(fleet.callers(), {"--rate", "150", "--ms", "5000"});
  const auto vm = fleet.vmOf("status");
  CHECK(Fleet::waitUntil([&] { return runsOf(fleet, vm) > 20; }));
  const auto moved =
      fleet.command({"domain", "out", "domain-0", "--who", "Night shift"});
  fleet.setPlatform({{"mode", "down"}});
  CHECK_EQUAL(0, moved.code);
  const auto waited =
      fleet.command({"wait", versionIn(moved), "--timeout", "20"});
  CHECK_EQUAL_TEXT(0, waited.code, waited.err.c_str());
  CHECK(Fleet::waitUntil(
      [&] { return fleet.targetStats(vm).at("running") == 0; }));
  const unsigned before = runsOf(fleet, vm);
  checkAllAnswered(callers.finish(), "store down half way");
  CHECK_EQUAL(before, runsOf(fleet, vm));
}

TEST(MovesAndStops, TwoDomainsMoveAtOnceAndReturnCold) {
  // A target dies when it is handed more than it can bear.
  Fleet fleet(makePlan(
      4, 1, {"--service-ms", "20", "--warm-after", "30", "--falls-over"}));
  CHECK(fleet.start());
  BackgroundCallers callers(fleet.callers(),
                            {"--rate", "120", "--ms", "12000"});
  const auto first = fleet.vmOf("status", 0);
  const auto second = fleet.vmOf("status", 1);
  CHECK(Fleet::waitUntil(
      [&] { return runsOf(fleet, first) > 40 && runsOf(fleet, second) > 40; }));
  moveBoth(fleet, "out");
  for (const std::size_t vm : {first, second}) {
    CHECK(Fleet::waitUntil(
        [&] { return fleet.targetStats(vm).at("running") == 0; }));
    fleet.vms[vm]->targetProcess->kill();
    fleet.startTarget(vm);
    CHECK(Fleet::waitUntil([&] { return !fleet.targetStats(vm).is_null(); }));
  }
  const auto other = fleet.vmOf("status", 2);
  const unsigned otherBefore = runsOf(fleet, other);
  CHECK(Fleet::waitUntil(
      [&] { return runsOf(fleet, other) > otherBefore + 50; }));
  CHECK_EQUAL(0, runsOf(fleet, first));
  CHECK_EQUAL(0, runsOf(fleet, second));
  moveBoth(fleet, "in");
  CHECK(Fleet::waitUntil(
      [&] { return runsOf(fleet, first) > 40 && runsOf(fleet, second) > 40; }));
  checkAllAnswered(callers.finish(), "two domains out and in");
  for (const auto &vm : fleet.vms)
    CHECK(vm->targetProcess->isRunning());
}

TEST(MovesAndStops, DomainStaysOutThoughTheStoreGoesDownAndVmsAreReplaced) {
  Fleet fleet(makePlan(2, 1));
  CHECK(fleet.start());
  const auto moved =
      fleet.command({"domain", "out", "domain-0", "--who", "Night shift"});
  CHECK_EQUAL(
      0, fleet.command({"wait", versionIn(moved), "--timeout", "20"}).code);
  fleet.setPlatform({{"mode", "down"}});
  const auto vm = fleet.vmOf("status");
  fleet.vms[vm]->node->kill();
  fleet.vms[vm]->targetProcess->kill();
  json settings = json::parse(readFile(fleet.vms[vm]->settingsFile).value());
  settings["seeds"] = {fleet.vms[fleet.vmOf("status", 1)]->peers.toString()};
  fleet.write("node-" + std::to_string(fleet.vms[vm]->callers.port) + ".json",
              settings.dump());
  fleet.startNode(vm);
  fleet.startTarget(vm);
  CHECK(Fleet::waitUntil([&] {
    const json state = fleet.status(vm);
    return !state.is_null() && state.value("version", 0) == 2 &&
           state.at("gate").at("state") != "absent";
  }));
  for (int n = 0; n < 40; ++n)
    CHECK_EQUAL(
        200,
        fleet.http
            .get(
                fleet.callers()[static_cast<std::size_t>(n) % fleet.vms.size()],
                "/status")
            .status);
  CHECK_EQUAL(0, runsOf(fleet, vm));
}

TEST(MovesAndStops, ThawedNodeOfADomainThatWentOutHandsNothingOver) {
  Fleet fleet(makePlan(2, 1));
  CHECK(fleet.start());
  const auto vm = fleet.vmOf("status");
  fleet.vms[vm]->node->signal(SIGSTOP);
  const auto moved =
      fleet.command({"domain", "out", "domain-0", "--who", "Night shift"});
  CHECK_EQUAL(0, moved.code);
  // Frozen for longer than the others take to bury it.
  const auto witness = fleet.vmOf("status", 1);
  CHECK(Fleet::waitUntil(
      [&] { return fleet.status(witness).value("present", 0) == 3; }));
  // A call waits in the socket of the frozen node and is the first thing that
  // it sees.
  std::optional<HttpAnswer> answer;
  fleet.http.sendAsync(fleet.vms[vm]->callers, "GET", "/status/late", {}, "",
                       milliseconds(8000),
                       [&](HttpAnswer it) { answer = std::move(it); });
  for (int n = 0; n < 10; ++n)
    g_main_context_iteration(nullptr, FALSE);
  fleet.vms[vm]->node->signal(SIGCONT);
  CHECK(Fleet::waitUntil([&] { return answer.has_value(); }));
  CHECK(Fleet::waitUntil([&] {
    const json state = fleet.status(vm);
    return !state.is_null() && state.value("version", 0) == 2;
  }));
  CHECK_EQUAL(0, runsOf(fleet, vm));
}

TEST(MovesAndStops, LeavingTargetFinishesItsWorkAndGetsNoMore) {
  Fleet fleet(makePlan(2, 1, {"--service-ms", "300"}));
  CHECK(fleet.start());
  BackgroundCallers callers(fleet.callers(), {"--rate", "6", "--ms", "4000"});
  const auto vm = fleet.vmOf("status");
  CHECK(Fleet::waitUntil([&] { return runsOf(fleet, vm) > 0; }));
  fleet.vms[vm]->targetProcess->signal(SIGTERM);
  CHECK_EQUAL(0, fleet.vms[vm]->targetProcess->wait());
  const json report = callers.finish();
  checkAllAnswered(
      report, fleet.command({"timeline", "--filter", "calls-"}).out.c_str());
}

TEST(MovesAndStops, RollingRestartOfNodesAndTargetsFailsNoCall) {
  Fleet fleet(makePlan(2, 2));
  CHECK(fleet.start());
  // Callers use one node that is restarted last, as a caller picks its entrance
  // itself.
  BackgroundCallers callers({fleet.vms.back()->callers},
                            {"--rate", "200", "--ms", "20000"});
  CHECK(Fleet::waitUntil(
      [&] { return fleet.metric(fleet.vms.size() - 1, "calls_total") > 0; }));
  for (std::size_t n = 0; n + 1 < fleet.vms.size(); ++n) {
    Vm &vm = *fleet.vms[n];
    vm.targetProcess->signal(SIGTERM);
    CHECK_EQUAL(0, vm.targetProcess->wait());
    vm.node->signal(SIGTERM);
    CHECK_EQUAL(0, vm.node->wait());
    fleet.startNode(n);
    fleet.startTarget(n);
    CHECK(Fleet::waitUntil([&] {
      const json state = fleet.status(fleet.vms.size() - 1);
      for (const json &member : state.at("members"))
        if (member.at("callers") == vm.callers.toString())
          return member.at("liveness") == "alive" &&
                 (member.at("targetState") == "cold" ||
                  member.at("targetState") == "warm");
      return false;
    }));
  }
  checkAllAnswered(callers.finish(), "rolling restart");
}

TEST(MovesAndStops, StoppingNodeFinishesACallInProgress) {
  Fleet fleet(makePlan(1, 1, {"--service-ms", "1500"}));
  CHECK(fleet.start());
  const auto vm = fleet.vmOf("status");
  std::optional<HttpAnswer> answer;
  fleet.http.sendAsync(fleet.vms[vm]->callers, "POST", "/status/1", {}, "x",
                       milliseconds(8000),
                       [&](HttpAnswer it) { answer = std::move(it); });
  CHECK(Fleet::waitUntil(
      [&] { return fleet.targetStats(vm).at("running") == 1; }));
  fleet.vms[vm]->node->signal(SIGTERM);
  CHECK(Fleet::waitUntil([&] { return answer.has_value(); }));
  CHECK_EQUAL(200, answer->status);
  CHECK_EQUAL(0, fleet.vms[vm]->node->wait());
}

TEST(MovesAndStops, KilledNodesAreReplacedAndServiceResumes) {
  Fleet fleet(makePlan(3, 1));
  CHECK(fleet.start());
  for (const std::size_t n : {std::size_t{0}, std::size_t{1}}) {
    fleet.vms[n]->node->kill();
    fleet.vms[n]->targetProcess->kill();
  }
  const Address node = fleet.callers()[3];
  CHECK(Fleet::waitUntil(
      [&] { return fleet.http.get(node, "/status").status == 200; }));
  CHECK(Fleet::waitUntil(
      [&] { return fleet.status(3).value("present", 0) == 4; }));
  for (const std::size_t n : {std::size_t{0}, std::size_t{1}}) {
    fleet.startNode(n);
    fleet.startTarget(n);
  }
  CHECK(Fleet::waitUntil(
      [&] { return fleet.status(3).value("present", 0) == 6; }));
  // What the killed nodes saw is in the object store if they had saved it; that
  // they died is told by the others.
  CHECK(fleet.command({"timeline", "--filter", "member-dead"})
            .out.find(fleet.callers()[0].toString()) != std::string::npos);
}

TEST(MovesAndStops, CancelledCallFreesItsSlot) {
  Fleet fleet(makePlan(1, 1, {"--service-ms", "3000"}));
  CHECK(fleet.start());
  const auto vm = fleet.vmOf("status");
  fleet.http.send(fleet.vms[fleet.vmOf("release")]->callers, "GET", "/status/1",
                  {}, "", milliseconds(300));
  CHECK(Fleet::waitUntil(
      [&] { return fleet.targetStats(vm).at("cancelled") == 1; }));
  CHECK(Fleet::waitUntil(
      [&] { return fleet.status(vm).at("gate").at("inFlight") == 0; }));
}

TEST(MovesAndStops, NoSlotIsLostWhateverBecomesOfQueuedCalls) {
  Fleet fleet(makePlan(2, 1, {"--service-ms", "40"}));
  CHECK(fleet.start());
  BackgroundCallers callers(fleet.callers(), {"--rate", "500", "--ms", "4000",
                                              "--cancel-every", "7"});
  callers.finish();
  for (std::size_t n = 0; n < 2; ++n) {
    const auto vm = fleet.vmOf("status", n);
    CHECK(Fleet::waitUntil(
        [&] { return fleet.targetStats(vm).at("running") == 0; }));
    CHECK(Fleet::waitUntil(
        [&] { return fleet.status(vm).at("gate").at("inFlight") == 0; }));
    CHECK_EQUAL(0, fleet.targetStats(vm).at("overruns").get<int>());
  }
}

// Guards against a target that is used again after its leaving was
// acknowledged, as its node was killed and an earlier announcement came late.
TEST(MovesAndStops, TargetThatLeftIsNotUsedAfterARestartAndALateAnnouncement) {
  Fleet fleet(makePlan(2, 1));
  CHECK(fleet.start());
  const std::size_t vm = 0;
  const std::string bootId =
      fleet.status(vm).at("gate").at("bootId").get<std::string>();
  const json late{{"service", fleet.vms[vm]->plan.service},
                  {"address", fleet.vms[vm]->target.toString()},
                  {"slots", 4},
                  {"connections", 10},
                  {"coldSlots", 4},
                  {"bootId", bootId}};
  const auto send = [&](const char *path, const json &body) {
    return fleet.http
        .send(fleet.vms[vm]->targets, "POST", path, {}, body.dump())
        .status;
  };
  fleet.vms[vm]->targetProcess->kill();
  CHECK_EQUAL(200, send("/plantainhatch/v1/leave", {{"bootId", bootId}}));
  fleet.vms[vm]->node->kill();
  fleet.startNode(vm);
  CHECK(Fleet::waitUntil([&] { return fleet.status(vm).is_object(); }));
  CHECK_EQUAL(200, send("/plantainhatch/v1/announce", late));
  const auto state = fleet.status(vm).at("gate").at("state");
  STRCMP_EQUAL("leaving", state.get<std::string>().c_str());
}
