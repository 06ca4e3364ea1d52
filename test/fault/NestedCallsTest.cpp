/** \file
 * Targets that call other services through their own nodes. */
#include "standins/Caller.h"
#include "support/FaultFixture.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr unsigned Levels = 4;
constexpr unsigned TargetsPerLevel = 2;
constexpr double MaxAddedShare = 1.1;

std::string levelName(unsigned level) {
  return "level-" + std::to_string(level);
}

/** Each level calls the next one. */
FleetPlan makeLevels(const std::vector<std::string> &targetOptions) {
  FleetPlan plan;
  for (unsigned level = 1; level <= Levels; ++level) {
    const std::string name = levelName(level);
    plan.rules.append("service ")
        .append(name)
        .append(" path /")
        .append(name)
        .append(" timeout 3s  # Test\n");
    for (unsigned n = 0; n < TargetsPerLevel; ++n) {
      VmPlan vm{
          "domain-" + std::to_string(n), name, 12, 12, 220, targetOptions, {}};
      if (level < Levels)
        vm.calls = "/" + levelName(level + 1);
      plan.vms.push_back(vm);
    }
  }
  return plan;
}

std::uint64_t runsOfLevel(Fleet &fleet, unsigned level) {
  std::uint64_t runs = 0;
  for (unsigned n = 0; n < TargetsPerLevel; ++n)
    runs += fleet.targetStats(fleet.vmOf(levelName(level), n))
                .at("runs")
                .get<std::uint64_t>();
  return runs;
}

CallerReport load(const Fleet &fleet) {
  CallerOptions options;
  options.nodes = fleet.callers();
  options.path = "/level-1";
  options.rate = 150;
  options.duration = milliseconds(5000);
  return Caller(options).run();
}

} // namespace

TEST_GROUP(NestedCalls){};

TEST(NestedCalls, RetriesDoNotMultiplyOverFourLevels) {
  Fleet fleet(makeLevels({"--service-ms", "5"}));
  CHECK(fleet.start());
  fleet.setTarget(fleet.vmOf(levelName(Levels)), {{"breaksAll", true}});
  const CallerReport report = load(fleet);
  const std::uint64_t last = runsOfLevel(fleet, Levels);
  CHECK(last > 0);
  CHECK_TEXT(static_cast<double>(last) <=
                 MaxAddedShare * static_cast<double>(report.sent),
             (std::to_string(report.sent) + " calls, " +
              std::to_string(runsOfLevel(fleet, 1)) + ", " +
              std::to_string(runsOfLevel(fleet, 2)) + ", " +
              std::to_string(runsOfLevel(fleet, 3)) + ", " +
              std::to_string(last) + " runs")
                 .c_str());
}

TEST(NestedCalls, CancellationIsPassedDownAndFreesEverySlot) {
  Fleet fleet(makeLevels({"--service-ms", "3000", "--steady"}));
  CHECK(fleet.start());
  for (unsigned level = 1; level < Levels; ++level)
    for (unsigned n = 0; n < TargetsPerLevel; ++n)
      fleet.setTarget(fleet.vmOf(levelName(level), n), {{"serviceMs", 2.0}});
  bool hasEnded = false;
  const auto caller = fleet.http.sendAsync(
      fleet.callers()[0], "GET", "/level-1/1", {}, "", milliseconds(8000),
      [&](const HttpAnswer & /*answer*/) { hasEnded = true; });
  const auto runningAt = [&](unsigned level) {
    unsigned running = 0;
    for (unsigned n = 0; n < TargetsPerLevel; ++n)
      running += fleet.targetStats(fleet.vmOf(levelName(level), n))
                     .at("running")
                     .get<unsigned>();
    return running;
  };
  CHECK(Fleet::waitUntil([&] { return runningAt(Levels) > 0; }));
  g_cancellable_cancel(caller.get());
  CHECK(Fleet::waitUntil([&] { return hasEnded; }));
  CHECK(Fleet::waitUntil([&] {
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm)
      if (fleet.targetStats(vm).at("running") != 0 ||
          fleet.status(vm).at("gate").at("inFlight") != 0)
        return false;
    return true;
  }));
  // The last level was cut off in its run and did not come to its end.
  unsigned cancelled = 0;
  for (unsigned n = 0; n < TargetsPerLevel; ++n)
    cancelled += fleet.targetStats(fleet.vmOf(levelName(Levels), n))
                     .at("cancelled")
                     .get<unsigned>();
  CHECK(cancelled > 0);
}
