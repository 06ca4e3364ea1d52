/** \file
 * Compares the policies that pick targets, on the same fleet, load and seeds.
 */
#include "runTool.h"
#include "standins/Caller.h"
#include "support/FaultFixture.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <iostream>

namespace {

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;

constexpr std::chrono::milliseconds WarmTime{1'500};
constexpr std::chrono::milliseconds RunTime{4'000};
constexpr std::chrono::milliseconds ServiceTime{40};
constexpr unsigned Slots = 12;
constexpr unsigned Targets = 5;
constexpr unsigned Domains = 4;
constexpr double StragglerFactor = 10;
constexpr unsigned SwitchMs = 50;

/** One situation that policies are compared in. */
struct Situation {
  const char *name;
  /** Share of the slots of all targets that the load would keep busy. */
  double share;
  bool hasStraggler;
  bool hasSwitching;
};

constexpr Situation Situations[] = {
    {"even, 60%", 0.6, false, false},      {"even, 75%", 0.75, false, false},
    {"even, 90%", 0.9, false, false},      {"straggler, 60%", 0.6, true, false},
    {"straggler, 75%", 0.75, true, false}, {"switching, 60%", 0.6, false, true},
    {"switching, 75%", 0.75, false, true}};

constexpr const char *Policies[] = {"hot-cold", "least-in-flight",
                                    "round-robin", "random"};

double toMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

CallerReport load(Fleet &fleet, double share, std::chrono::milliseconds time,
                  std::uint64_t seed) {
  CallerOptions options;
  options.nodes = fleet.callers();
  options.rate = share * Targets * Slots /
                 std::chrono::duration<double>(ServiceTime).count();
  options.duration = time;
  options.seed = seed;
  return Caller(options).run();
}

void printRow(const std::string &situation, const std::string &policy,
              const CallerReport &report) {
  std::cout << "| " << situation << " | " << policy << std::fixed
            << std::setprecision(1);
  for (const double quantile : {0.5, 0.99, 0.999})
    std::cout << " | " << toMs(quantileOf(report.latencies, quantile));
  std::cout << " | " << report.sent << " | " << report.sent - report.answered
            << " |\n";
}

void measure(const Situation &situation, const std::string &policy,
             const std::string &label, const std::string &rule) {
  FleetPlan plan = makeStatusPlan(Targets, Domains, Slots, ServiceTime);
  plan.rules += rule;
  plan.nodeOptions = {"--policy", policy};
  Fleet fleet(plan);
  if (!fleet.start()) {
    std::cerr << "the fleet did not start\n";
    return;
  }
  if (situation.hasStraggler)
    fleet.setTarget(0, {{"serviceMs", ServiceTime.count() * StragglerFactor}});
  if (situation.hasSwitching)
    fleet.setTarget(0, {{"switchMs", SwitchMs}});
  load(fleet, situation.share, WarmTime, 1);
  printRow(situation.name, label, load(fleet, situation.share, RunTime, 2));
}

void printHead(const std::string &second) {
  std::cout << "\n| situation | " << second
            << " | p50 ms | p99 ms | p99.9 ms | calls | not answered |\n"
               "|---|---|---|---|---|---|---|\n";
}

/** \param wanted is a part of the names of the situations to measure; all, and
 * the budgets, if it is empty. */
int run(const std::string &wanted) {
  printHead("policy");
  for (const Situation &situation : Situations)
    for (const char *const policy : Policies)
      if (std::string_view(situation.name).find(wanted) !=
          std::string_view::npos)
        measure(situation, policy, policy, "");
  if (!wanted.empty())
    return 0;
  printHead("budget for measuring");
  const std::pair<const char *, const char *> budgets[] = {
      {"0", "measure rate 0/s bytes 0/s  # T\n"},
      {"5/s", "measure rate 5/s bytes 1KB/s  # T\n"},
      {"50/s (default)", ""},
      {"500/s", "measure rate 500/s bytes 96KB/s  # T\n"}};
  for (const auto &[name, rule] : budgets)
    measure(Situations[3], "hot-cold", name, rule);
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  return tools::runTool([&] { return run(argc > 1 ? argv[1] : ""); });
}
