/** \file
 * Runs a deployment as processes on loopback: sends calls, takes a failure
 * domain out and in, and prints what callers saw and the time line. */
#include "base/Settings.h"
#include "standins/Caller.h"
#include "support/Fleet.h"

#include <nlohmann/json.hpp>

#include <csignal>
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
                        {}});
  return plan;
}

/** Starts the callers' stand-in as a process of its own. */
GObjectPtr<GSubprocess> startCallers(const Fleet &fleet,
                                     const std::string &path, double rate,
                                     bool hasKeys) {
  std::string nodes;
  for (const Address &node : fleet.callers())
    nodes += node.toString() + ",";
  const std::string program = binFolder() + "/standin-caller";
  const std::string rateText = std::to_string(rate);
  const std::string msText = std::to_string(LoadTime.count());
  return GObjectPtr<GSubprocess>(g_subprocess_new(
      G_SUBPROCESS_FLAGS_STDOUT_PIPE, nullptr, program.c_str(), "--nodes",
      nodes.c_str(), "--path", path.c_str(), "--rate", rateText.c_str(), "--ms",
      msText.c_str(), "--method", hasKeys ? "POST" : "GET",
      hasKeys ? "--keys" : nullptr, nullptr));
}

json finishCallers(GSubprocess *callers) {
  gchar *out = nullptr;
  g_subprocess_communicate_utf8(callers, nullptr, nullptr, &out, nullptr,
                                nullptr);
  json report = json::parse(out == nullptr ? "" : out, nullptr, false);
  g_free(out);
  return report;
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
  const auto status =
      startCallers(fleet, deployment.at("statusPath"), StatusRate, false);
  const auto once =
      startCallers(fleet, deployment.at("oncePath"), OnceRate, true);
  g_usleep(std::chrono::microseconds(MoveAfter).count());
  printCommand(fleet, {"domain", "out", domain, "--who", "Night shift"});
  printCommand(fleet, {"wait", acceptedVersion(fleet)});
  g_usleep(std::chrono::microseconds(MoveAfter).count());
  printCommand(fleet, {"domain", "in", domain, "--who", "Night shift"});
  printCommand(fleet, {"wait", acceptedVersion(fleet)});
  const json statusReport = finishCallers(status.get());
  const json onceReport = finishCallers(once.get());
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
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 2) {
    std::cerr << "usage: demo FOLDER\n";
    return 2;
  }
  try {
    return run(argv[1]);
  } catch (const std::exception &error) {
    std::cerr << "an answer could not be read: " << error.what() << "\n";
    return 1;
  }
}
