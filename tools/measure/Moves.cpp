/** \file
 * Latency while a failure domain leaves and returns, against the steady state
 * before it in the same run. */
#include "runTool.h"
#include "support/BackgroundCallers.h"
#include "support/FaultFixture.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <iostream>
#include <sstream>

namespace {

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;

constexpr std::chrono::milliseconds ServiceTime{40};
constexpr unsigned Slots = 12;
constexpr unsigned Domains = 4;
constexpr unsigned PerDomain = 2;
constexpr double Share = 0.6;
constexpr std::chrono::milliseconds WarmTime{3'000};
constexpr std::chrono::milliseconds RunTime{5'000};
/** Within each run. */
constexpr std::chrono::milliseconds MoveAfter{1'000};

std::vector<std::string> makeLoad(std::chrono::milliseconds time,
                                  unsigned seed) {
  const double rate = Share * Domains * PerDomain * Slots /
                      std::chrono::duration<double>(ServiceTime).count();
  return {"--rate", std::to_string(rate), "--ms", std::to_string(time.count()),
          "--seed", std::to_string(seed)};
}

/** \return the p99 in milliseconds. */
double printRow(const std::string &name, const json &report,
                const std::string &inForce, double steady) {
  const double p99 = report.at("latencyMs").at("p99");
  std::cout << "| " << name << " | " << std::fixed << std::setprecision(1)
            << report.at("latencyMs").at("p50").get<double>() << " | " << p99
            << " | " << std::setprecision(2)
            << (steady > 0 ? p99 / steady : 1.0) << " | " << report.at("sent")
            << " | "
            << report.at("sent").get<int>() - report.at("answered").get<int>()
            << " | " << inForce << " |\n";
  return p99;
}

/** Moves domain-0 under load. \return the report and when the move was in force
 * everywhere. */
std::pair<json, std::string> runMove(Fleet &fleet, const char *direction,
                                     unsigned seed) {
  BackgroundCallers callers(fleet.callers(), makeLoad(RunTime, seed));
  g_usleep(std::chrono::microseconds(MoveAfter).count());
  const auto start = std::chrono::steady_clock::now();
  const auto moved =
      fleet.command({"domain", direction, "domain-0", "--who", "Night shift"});
  fleet.command({"wait", versionIn(moved), "--timeout", "20"});
  const std::chrono::duration<double> time =
      std::chrono::steady_clock::now() - start;
  std::ostringstream inForce;
  inForce << std::fixed << std::setprecision(2) << time.count() << " s";
  return {callers.finish(), inForce.str()};
}

int run() {
  Fleet fleet(makeStatusPlan(Domains * PerDomain, Domains, Slots, ServiceTime));
  if (!fleet.start()) {
    std::cerr << "the fleet did not start\n";
    return 1;
  }
  BackgroundCallers(fleet.callers(), makeLoad(WarmTime, 1)).finish();
  std::cout
      << "| 60% of the slots | p50 ms | p99 ms | p99 / steady | calls | "
         "not answered | in force after |\n|---|---|---|---|---|---|---|\n";
  const json before =
      BackgroundCallers(fleet.callers(), makeLoad(RunTime, 2)).finish();
  const double steady = printRow("steady", before, "", 0);
  const auto [out, outTime] = runMove(fleet, "out", 3);
  printRow("domain goes out", out, outTime, steady);
  const json without =
      BackgroundCallers(fleet.callers(), makeLoad(RunTime, 4)).finish();
  printRow("without it (80% of the rest)", without, "", steady);
  const auto [in, inTime] = runMove(fleet, "in", 5);
  printRow("domain returns", in, inTime, steady);
  const json after =
      BackgroundCallers(fleet.callers(), makeLoad(RunTime, 6)).finish();
  printRow("steady again", after, "", steady);
  return 0;
}

} // namespace

int main() { return tools::runTool(run); }
