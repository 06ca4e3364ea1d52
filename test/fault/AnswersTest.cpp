/** \file
 * Whole and own answers among cancelled, refused and retried calls; added work;
 * the cost of measuring at the wire. */
#include "standins/Caller.h"
#include "support/FaultFixture.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

CallerReport load(Fleet &fleet, double rate, milliseconds time,
                  unsigned cancelEvery = 0) {
  CallerOptions options;
  options.nodes = fleet.callers();
  options.rate = rate;
  options.duration = time;
  options.cancelEvery = cancelEvery;
  return Caller(options).run();
}

} // namespace

TEST_GROUP(Answers){};

TEST(Answers, NoneIsCrossedOrShortAmongCancelledCalls) {
  Fleet fleet(makePlan(2, 2));
  CHECK(fleet.start());
  const auto report = load(fleet, 500, milliseconds(32'000), 4);
  CHECK(report.sent > 15'000);
  CHECK(report.cancelled > 1'000);
  CHECK_EQUAL(0, report.wrong);
  CHECK_EQUAL(0, report.failed);
}

TEST(Answers, OutageOfHalfTheTargetsAddsATenthOfWorkAtMost) {
  Fleet fleet(makePlan(2, 2));
  CHECK(fleet.start());
  const unsigned targets = 4;
  load(fleet, 200, milliseconds(500));
  double before = 0;
  for (std::size_t n = 0; n < fleet.vms.size(); ++n)
    before += fleet.metric(n, "gate_handed_over_total");
  // Half of the targets close each connection without an answer.
  for (std::size_t n = 0; n < targets / 2; ++n)
    fleet.setTarget(fleet.vmOf("status", n), {{"breaksAll", true}});
  const auto report = load(fleet, 300, milliseconds(5000));
  double handedOver = -before;
  for (std::size_t n = 0; n < fleet.vms.size(); ++n)
    handedOver += fleet.metric(n, "gate_handed_over_total");
  const double budgets = static_cast<double>(fleet.vms.size()) * 10;
  CHECK(handedOver <= static_cast<double>(report.sent) * 1.1 + budgets);
  CHECK_EQUAL(0, report.wrong);
}

TEST(Answers, MeasuringStaysInItsBudgetWithTenTimesTheCallers) {
  FleetPlan plan = makePlan(2, 2);
  plan.rules += "measure rate 20/s bytes 4KB/s  # Test\n";
  Fleet fleet(plan);
  CHECK(fleet.start());
  load(fleet, 60, milliseconds(1000));
  const auto sums = [&](const std::string &name) {
    std::vector<double> values;
    values.reserve(fleet.vms.size());
    for (std::size_t n = 0; n < fleet.vms.size(); ++n)
      values.push_back(fleet.metric(n, name));
    return values;
  };
  const auto messages = sums("measure_messages_total");
  const auto bytes = sums("measure_bytes_total");
  const auto start = std::chrono::steady_clock::now();
  load(fleet, 600, milliseconds(5000));
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
          .count();
  const auto messagesAfter = sums("measure_messages_total");
  const auto bytesAfter = sums("measure_bytes_total");
  double all = 0;
  for (std::size_t n = 0; n < fleet.vms.size(); ++n) {
    // The rate, and one burst of a tenth of a second.
    CHECK(messagesAfter[n] - messages[n] <= 20 * seconds + 2);
    CHECK(bytesAfter[n] - bytes[n] <= 4096 * seconds + 410);
    all += messagesAfter[n] - messages[n];
  }
  CHECK(all > 0);
}

TEST(Answers, OverloadIsRefusedTruthfullyAndEnds) {
  Fleet fleet(makePlan(1, 2, {"--service-ms", "40"}));
  CHECK(fleet.start());
  // Warm: 24 slots at 40 ms bear 600 calls a second.
  load(fleet, 400, milliseconds(3000));
  const auto before0 = fleet.targetStats(fleet.vmOf("status", 0));
  const auto before1 = fleet.targetStats(fleet.vmOf("status", 1));
  const auto surge = load(fleet, 1200, milliseconds(3000));
  const auto runs = [&](std::size_t place, const json &before) {
    const json after = fleet.targetStats(fleet.vmOf("status", place));
    return after.at("runs").get<std::uint64_t>() -
           before.at("runs").get<std::uint64_t>();
  };
  // Each run has an answer or an unknown outcome; no refusal was run.
  const std::uint64_t handed = runs(0, before0) + runs(1, before1);
  CHECK_EQUAL(0, surge.wrong);
  CHECK(surge.notRun > 0);
  CHECK(handed >= surge.answered);
  CHECK(handed <=
        surge.answered + surge.unknown + surge.failed + surge.sent / 10 + 20);
  CHECK(Fleet::waitUntil([&] {
    const auto after = load(fleet, 100, milliseconds(500));
    return after.sent == after.answered;
  }));
  CHECK_EQUAL(
      0, fleet.targetStats(fleet.vmOf("status", 0)).at("overruns").get<int>());
}
