/** \file
 * Targets that fall over when they are handed more than they can bear. */
#include "standins/Caller.h"
#include "support/FaultFixture.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr unsigned Targets = 4;

/** Targets that die at one call too many: 3 while cold, 12 when warm. */
FleetPlan makeFragilePlan() {
  FleetPlan plan;
  plan.rules = TwoServices;
  for (unsigned n = 0; n < Targets; ++n)
    plan.vms.push_back(
        {"domain-" + std::to_string(n % 2),
         "status",
         12,
         3,
         220,
         {"--service-ms", "80", "--warm-after", "60", "--falls-over"},
         {}});
  return plan;
}

CallerReport load(Fleet &fleet, double rate, milliseconds time) {
  CallerOptions options;
  options.nodes = fleet.callers();
  options.rate = rate;
  options.duration = time;
  return Caller(options).run();
}

void checkNoneFell(Fleet &fleet) {
  for (std::size_t n = 0; n < Targets; ++n) {
    CHECK(fleet.vms[n]->targetProcess->isRunning());
    const json stats = fleet.targetStats(n);
    CHECK_FALSE(stats.is_null());
    CHECK_EQUAL(0, stats.at("overruns").get<int>());
    CHECK(stats.at("runs").get<int>() > 0);
  }
}

void restartTarget(Fleet &fleet, std::size_t n) {
  fleet.vms[n]->targetProcess->kill();
  fleet.startTarget(n);
}

} // namespace

TEST_GROUP(ColdTarget){};

TEST(ColdTarget, ColdFleetUnderASurgeNeverFallsOver) {
  Fleet fleet(makeFragilePlan());
  CHECK(fleet.start());
  // One and a half times what all could bear if they were warm.
  const auto report = load(fleet, 900, milliseconds(3000));
  CHECK_EQUAL(0, report.wrong);
  CHECK_EQUAL(report.sent,
              report.answered + report.notRun + report.unknown + report.failed);
  checkNoneFell(fleet);
}

TEST(ColdTarget, TargetsThatTurnColdUnderLoadNeverFallOver) {
  Fleet fleet(makeFragilePlan());
  CHECK(fleet.start());
  load(fleet, 300, milliseconds(1500));
  restartTarget(fleet, 0);
  load(fleet, 300, milliseconds(1500));
  for (const std::size_t n : {std::size_t{1}, std::size_t{2}, std::size_t{3}})
    restartTarget(fleet, n);
  load(fleet, 600, milliseconds(3000));
  CHECK(Fleet::waitUntil([&] {
    load(fleet, 100, milliseconds(200));
    const json stats = fleet.targetStats(3);
    return stats.is_null() || stats.value("runs", 0) > 0;
  }));
  checkNoneFell(fleet);
}

TEST(ColdTarget, WarmthOfATargetIsNoNewsToTheFleet) {
  Fleet fleet(makePlan(1, 1));
  CHECK(fleet.start());
  const auto vm = fleet.vmOf("status");
  const auto incarnation = [&] {
    return fleet.status(vm).at("members").at(0).at("incarnation").get<int>();
  };
  const int before = incarnation();
  CHECK(Fleet::waitUntil([&] {
    load(fleet, 2500, milliseconds(500));
    return fleet.status(vm).at("gate").at("state") == "warm";
  }));
  CHECK_EQUAL(before, incarnation());
}
