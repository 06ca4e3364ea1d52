/** \file
 * Goodput and refusals of a fleet at twice what its slots bear, and the time
 * until it is back to normal. */
#include "runTool.h"
#include "support/BackgroundCallers.h"
#include "support/FaultFixture.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <memory>

namespace {

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;

constexpr std::chrono::milliseconds ServiceTime{60};
constexpr unsigned Slots = 12;
constexpr unsigned Targets = 5;
constexpr unsigned Domains = 4;
constexpr unsigned CallerProcesses = 4;
constexpr std::chrono::milliseconds WarmTime{3'000};
constexpr std::chrono::milliseconds RunTime{5'000};
constexpr std::chrono::milliseconds WindowTime{500};
constexpr double NormalShare = 0.6;
constexpr double SurgeShare = 2;
/** A window counts as normal if its p99 is below this share of the steady one.
 */
constexpr double NormalFactor = 1.5;
constexpr unsigned MaxWindows = 40;

/** What all callers saw. */
struct Observed {
  double answered = 0;
  double sent = 0;
  double refused = 0;
  double unknown = 0;
  /** Of the callers with the largest ones. */
  double p99Ms = 0;
  double refusalP50Ms = 0;
  double refusalP99Ms = 0;
};

/** One process of callers would be busier than a node. */
Observed load(const Fleet &fleet, double share,
              std::chrono::milliseconds time) {
  const double rate = share * Targets * Slots /
                      std::chrono::duration<double>(ServiceTime).count() /
                      CallerProcesses;
  std::vector<std::unique_ptr<BackgroundCallers>> callers;
  callers.reserve(CallerProcesses);
  for (unsigned n = 0; n < CallerProcesses; ++n)
    callers.push_back(std::make_unique<BackgroundCallers>(
        fleet.callers(),
        std::vector<std::string>{"--rate", std::to_string(rate), "--ms",
                                 std::to_string(time.count()), "--seed",
                                 std::to_string(n + 1)}));
  Observed sum;
  for (const auto &it : callers) {
    const json report = it->finish();
    const json &refusals = report.at("refusalLatencyMs");
    sum.answered += report.at("answered").get<double>();
    sum.sent += report.at("sent").get<double>();
    sum.refused += report.at("notRun").get<double>();
    sum.unknown += report.at("unknown").get<double>();
    sum.unknown += report.at("failed").get<double>();
    sum.p99Ms =
        std::max(sum.p99Ms, report.at("latencyMs").at("p99").get<double>());
    sum.refusalP50Ms =
        std::max(sum.refusalP50Ms, refusals.at("p50").get<double>());
    sum.refusalP99Ms =
        std::max(sum.refusalP99Ms, refusals.at("p99").get<double>());
  }
  return sum;
}

double goodput(const Observed &observed, std::chrono::milliseconds time) {
  return observed.answered / std::chrono::duration<double>(time).count();
}

void printRow(const std::string &name, const Observed &observed,
              std::chrono::milliseconds time) {
  std::cout << "| " << name << " | " << std::fixed << std::setprecision(1)
            << goodput(observed, time) << " | " << observed.p99Ms << " | "
            << observed.refused << " | " << observed.refusalP50Ms << " | "
            << observed.refusalP99Ms << " | " << observed.unknown << " |\n";
}

/** Loads the fleet in short windows. \return the time from \p since until the
 * start of the first window that is as good as \p steady. */
Duration timeToNormal(const Fleet &fleet, const Observed &steady,
                      TimePoint since) {
  TimePoint start = since;
  for (unsigned n = 0; n < MaxWindows; ++n) {
    start = std::chrono::steady_clock::now();
    const Observed window = load(fleet, NormalShare, WindowTime);
    if (window.answered == window.sent &&
        window.p99Ms <= NormalFactor * steady.p99Ms)
      break;
  }
  return start - since;
}

int run() {
  Fleet fleet(makeStatusPlan(Targets, Domains, Slots, ServiceTime));
  if (!fleet.start()) {
    std::cerr << "the fleet did not start\n";
    return 1;
  }
  load(fleet, NormalShare, WarmTime);
  std::cout << "| load, share of the slots | answers/s | p99 ms | refused | "
               "refusal p50 ms | refusal p99 ms | unknown |\n"
               "|---|---|---|---|---|---|---|\n";
  const Observed steady = load(fleet, NormalShare, RunTime);
  printRow("60%", steady, RunTime);
  double best = 0;
  for (const double share : {0.9, 1.0, 1.2}) {
    const Observed report = load(fleet, share, RunTime);
    printRow(std::to_string(static_cast<int>(share * 100)) + "%", report,
             RunTime);
    best = std::max(best, goodput(report, RunTime));
  }
  const Observed surge = load(fleet, SurgeShare, RunTime);
  const TimePoint surgeEnd = std::chrono::steady_clock::now();
  printRow("200%", surge, RunTime);
  const Duration recovery = timeToNormal(fleet, steady, surgeEnd);
  std::cout << "\ngoodput at 200% / best: " << std::setprecision(3)
            << goodput(surge, RunTime) / best
            << "\nback to normal after the last answer of the surge, ms: "
            << std::setprecision(0)
            << std::chrono::duration<double, std::milli>(recovery).count()
            << "\n";
  return 0;
}

} // namespace

int main() { return tools::runTool(run); }
