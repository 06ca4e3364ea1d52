/** \file
 * What the nodes add to a call, against the same stand-in target called
 * directly in the same run. */
#include "runTool.h"
#include "standins/Caller.h"
#include "support/FaultFixture.h"
#include "support/ProcessUsage.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <numeric>

namespace {

using namespace plantainhatch;
using namespace plantainhatch::test;

constexpr std::chrono::milliseconds RunTime{6'000};
constexpr double ServiceMs = 4;
constexpr double Slots = 12;
constexpr double CalibrationRate = 100;

double toMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

CallerReport measure(const std::vector<Address> &nodes, double rate,
                     std::uint64_t seed) {
  CallerOptions options;
  options.nodes = nodes;
  options.rate = rate;
  options.duration = RunTime;
  options.seed = seed;
  return Caller(options).run();
}

void printRow(const std::string &name, const CallerReport &report,
              const CallerReport &direct) {
  const auto print = [&](double quantile) {
    const double value = toMs(quantileOf(report.latencies, quantile));
    const double base = toMs(quantileOf(direct.latencies, quantile));
    std::cout << std::setw(9) << value << std::setw(9) << value - base;
  };
  std::cout << std::left << std::setw(34) << name << std::right << std::fixed
            << std::setprecision(3);
  print(0.5);
  print(0.99);
  std::cout << std::setw(9) << report.sent << std::setw(8)
            << report.sent - report.answered << "\n";
}

FleetPlan makeMeasuredPlan() {
  FleetPlan plan =
      makePlan(1, 1, {"--service-ms", std::to_string(ServiceMs), "--steady"});
  for (VmPlan &vm : plan.vms)
    vm.coldSlots = vm.slots;
  return plan;
}

/** Calls a second that would keep all slots busy, from the mean time that the
 * target really takes. */
double fullRate(Fleet &fleet) {
  const auto report =
      measure({fleet.vms[fleet.vmOf("status")]->target}, CalibrationRate, 9);
  const Duration sum = std::accumulate(report.latencies.begin(),
                                       report.latencies.end(), Duration{});
  const double mean =
      toMs(sum) / 1000 / static_cast<double>(report.latencies.size());
  return Slots / mean;
}

void measureAt(Fleet &fleet, double share, double full) {
  const auto local = fleet.vmOf("status");
  const auto remote = fleet.vmOf("release");
  const double rate = share * full;
  std::cout << "\nat " << static_cast<int>(share * 100) << "% of the slots, "
            << rate << " calls/s\n"
            << std::left << std::setw(34) << "" << std::right << std::setw(9)
            << "p50 ms" << std::setw(9) << "added" << std::setw(9) << "p99 ms"
            << std::setw(9) << "added" << std::setw(9) << "calls"
            << std::setw(8) << "lost"
            << "\n";
  const auto direct = measure({fleet.vms[local]->target}, rate, 1);
  printRow("target called directly", direct, direct);
  const ProcessUsage gateBefore(fleet.vms[local]->node->id());
  const auto oneNode = measure({fleet.vms[local]->callers}, rate, 1);
  const ProcessUsage gateAfter(fleet.vms[local]->node->id());
  printRow("through the node beside it", oneNode, direct);
  const ProcessUsage before(fleet.vms[remote]->node->id());
  const ProcessUsage gateStart(fleet.vms[local]->node->id());
  const auto twoNodes = measure({fleet.vms[remote]->callers}, rate, 1);
  const ProcessUsage after(fleet.vms[remote]->node->id());
  const ProcessUsage gateEnd(fleet.vms[local]->node->id());
  printRow("through another node and its gate", twoNodes, direct);
  const auto perCall = [](const ProcessUsage &from, const ProcessUsage &to,
                          const CallerReport &report) {
    return std::chrono::duration<double, std::micro>(to.cpu() - from.cpu())
               .count() /
           static_cast<double>(report.sent);
  };
  std::cout << "processor time of a call, us: as both "
            << perCall(gateBefore, gateAfter, oneNode) << ", as ingress "
            << perCall(before, after, twoNodes) << ", as gate "
            << perCall(gateStart, gateEnd, twoNodes) << "\n";
}

int run() {
  Fleet fleet(makeMeasuredPlan());
  if (!fleet.start()) {
    std::cerr << "the fleet did not start\n";
    return 1;
  }
  const double full = fullRate(fleet);
  for (const double share : {0.05, 0.7})
    measureAt(fleet, share, full);
  return 0;
}

} // namespace

int main() { return tools::runTool(run); }
