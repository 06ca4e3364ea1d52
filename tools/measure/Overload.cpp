/** \file
 * Goodput and refusals of a fleet at twice what its slots bear, and the time
 * until it is back to normal. */
#include "standins/Caller.h"
#include "support/FaultFixture.h"

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <iostream>

namespace {

using namespace plantainhatch;
using namespace plantainhatch::test;

constexpr double ServiceMs = 60;
constexpr unsigned Slots = 12;
constexpr unsigned Targets = 5;
constexpr std::chrono::milliseconds WarmTime{3'000};
constexpr std::chrono::milliseconds RunTime{5'000};
constexpr std::chrono::milliseconds WindowTime{250};
constexpr double NormalShare = 0.6;
constexpr double SurgeShare = 2;
/** A window counts as normal if its p99 is below this share of the steady one.
 */
constexpr double NormalFactor = 1.5;
constexpr unsigned MaxWindows = 40;

double toMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

FleetPlan makeFleetPlan() {
  FleetPlan plan;
  plan.rules = "service status path /status timeout 2s  # Test\n";
  for (unsigned n = 0; n < Targets; ++n)
    plan.vms.push_back({"domain-" + std::to_string(n % 4),
                        "status",
                        Slots,
                        Slots,
                        220,
                        {"--service-ms", std::to_string(ServiceMs)},
                        {}});
  return plan;
}

CallerReport load(const Fleet &fleet, double share,
                  std::chrono::milliseconds time) {
  CallerOptions options;
  options.nodes = fleet.callers();
  options.rate = share * Targets * Slots / (ServiceMs / 1000);
  options.duration = time;
  return Caller(options).run();
}

double goodput(const CallerReport &report, std::chrono::milliseconds time) {
  return static_cast<double>(report.answered) /
         std::chrono::duration<double>(time).count();
}

void printRow(const std::string &name, const CallerReport &report,
              std::chrono::milliseconds time) {
  std::cout << "| " << name << " | " << std::fixed << std::setprecision(1)
            << goodput(report, time) << " | "
            << toMs(quantileOf(report.latencies, 0.99)) << " | "
            << report.refusalLatencies.size() << " | "
            << toMs(quantileOf(report.refusalLatencies, 0.5)) << " | "
            << toMs(quantileOf(report.refusalLatencies, 0.99)) << " | "
            << report.unknown + report.failed << " |\n";
}

/** Loads the fleet in short windows. \return the time from \p since until the
 * start of the first window that is as good as \p steady. */
Duration timeToNormal(const Fleet &fleet, const CallerReport &steady,
                      TimePoint since) {
  const double limit = NormalFactor * toMs(quantileOf(steady.latencies, 0.99));
  TimePoint start = since;
  for (unsigned n = 0; n < MaxWindows; ++n) {
    start = std::chrono::steady_clock::now();
    const CallerReport window = load(fleet, NormalShare, WindowTime);
    if (window.answered == window.sent &&
        toMs(quantileOf(window.latencies, 0.99)) <= limit)
      break;
  }
  return start - since;
}

int run() {
  Fleet fleet(makeFleetPlan());
  if (!fleet.start()) {
    std::cerr << "the fleet did not start\n";
    return 1;
  }
  load(fleet, NormalShare, WarmTime);
  std::cout << "| load, share of the slots | answers/s | p99 ms | refused | "
               "refusal p50 ms | refusal p99 ms | unknown |\n"
               "|---|---|---|---|---|---|---|\n";
  const CallerReport steady = load(fleet, NormalShare, RunTime);
  printRow("60%", steady, RunTime);
  double best = 0;
  for (const double share : {0.9, 1.0, 1.2}) {
    const CallerReport report = load(fleet, share, RunTime);
    printRow(std::to_string(static_cast<int>(share * 100)) + "%", report,
             RunTime);
    best = std::max(best, goodput(report, RunTime));
  }
  const CallerReport surge = load(fleet, SurgeShare, RunTime);
  const TimePoint surgeEnd = std::chrono::steady_clock::now();
  printRow("200%", surge, RunTime);
  const Duration recovery = timeToNormal(fleet, steady, surgeEnd);
  std::cout << "\ngoodput at 200% / best: " << std::setprecision(3)
            << goodput(surge, RunTime) / best
            << "\nback to normal after the last answer of the surge, ms: "
            << std::setprecision(0) << toMs(recovery) << "\n";
  return 0;
}

} // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run();
  } catch (const std::exception &error) {
    std::cerr << "an answer could not be read: " << error.what() << "\n";
    return 1;
  }
}
