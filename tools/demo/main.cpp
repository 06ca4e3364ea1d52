/** \file
 * Runs a deployment as processes on loopback: sends calls, takes a failure
 * domain out and in, and prints what callers saw and the time line. */
#include "base/Settings.h"
#include "runTool.h"
#include "support/BackgroundCallers.h"
#include "support/Fleet.h"

#include <nlohmann/json.hpp>

#include <future>
#include <iostream>

namespace {

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;

constexpr double StatusRate = 400;
constexpr double OnceRate = 40;
constexpr std::chrono::milliseconds LoadTime{8'000};
constexpr std::chrono::milliseconds MoveAfter{2'000};

FleetPlan readPlan(const std::string &folder, const json &deployment) {
  FleetPlan plan;
  plan.cluster = deployment.at("cluster");
  plan.rules = readFile(folder + "/rules.txt").value();
  for (const json &it : deployment.at("vms"))
    plan.vms.push_back({it.at("failureDomain"),
                        it.at("service"),
                        it.at("slots"),
                        it.at("coldSlots"),
                        it.at("connections"),
                        {},
                        {}});
  return plan;
}

std::vector<std::string> callerOptions(const std::string &path, double rate,
                                       bool hasKeys) {
  std::vector<std::string> options{"--path", path,
                                   "--rate", std::to_string(rate),
                                   "--ms",   std::to_string(LoadTime.count())};
  if (hasKeys)
    options.insert(options.end(), {"--method", "POST", "--keys"});
  return options;
}

void printCommand(Fleet &fleet, const std::vector<std::string> &words) {
  std::cout << "$ plantainhatch";
  for (const std::string &word : words)
    std::cout << " " << word;
  const CommandOutput output = fleet.command(words);
  std::cout << "\n" << output.out << output.err;
}

std::string acceptedVersion(Fleet &fleet) {
  return std::to_string(
      json::parse(fleet.command({"show", "--json"}).out, nullptr, false)
          .value("version", 0));
}

int run(const std::string &folder) {
  const json deployment =
      json::parse(readFile(folder + "/deployment.json").value());
  Fleet fleet(readPlan(folder, deployment));
  if (!fleet.start()) {
    std::cerr << "the fleet did not start\n";
    return 1;
  }
  const std::string domain = deployment.at("moves");
  std::cout << fleet.vms.size() << " nodes and targets and one platform run\n";
  printCommand(fleet, {"status"});
  BackgroundCallers status(
      fleet.callers(),
      callerOptions(deployment.at("statusPath"), StatusRate, false));
  BackgroundCallers once(
      fleet.callers(),
      callerOptions(deployment.at("oncePath"), OnceRate, true));
  g_usleep(std::chrono::microseconds(MoveAfter).count());
  printCommand(fleet, {"domain", "out", domain, "--who", "Night shift"});
  printCommand(fleet, {"wait", acceptedVersion(fleet)});
  g_usleep(std::chrono::microseconds(MoveAfter).count());
  printCommand(fleet, {"domain", "in", domain, "--who", "Night shift"});
  printCommand(fleet, {"wait", acceptedVersion(fleet)});
  const json statusReport = status.finish();
  const json onceReport = once.finish();
  std::cout << "idempotent calls: " << statusReport.dump(2) << "\n"
            << "calls that run at most once: " << onceReport.dump(2) << "\n";
  printCommand(fleet, {"timeline", "--since", "60s"});
  const bool isGood = statusReport.value("wrong", 1) == 0 &&
                      onceReport.value("wrong", 1) == 0 &&
                      statusReport.value("failed", 1) == 0 &&
                      onceReport.value("failed", 1) == 0;
  std::cout << (isGood ? "every caller had its own answer\n"
                       : "some answers were wrong\n");
  return isGood ? 0 : 1;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2) {
    std::cerr << "usage: demo FOLDER\n";
    return 2;
  }
  return tools::runTool([&] { return run(argv[1]); });
}
