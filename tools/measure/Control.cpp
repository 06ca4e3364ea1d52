/** \file
 * What control costs real nodes, over the size of the fleet: idle, under
 * changes of configuration, and when a sixth of the members is killed. */
#include "measure/Table.h"
#include "runTool.h"
#include "support/FaultFixture.h"
#include "support/ProcessUsage.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <numeric>

namespace {

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;
using tools::Table;

constexpr double TargetMembers = 7500;
constexpr std::chrono::seconds MeasuredTime{10};
/** News of the start is spread by then. */
constexpr std::chrono::seconds SettleTime{12};
/** Ten times the changes of a day of 25,000. */
constexpr std::chrono::milliseconds ChangeInterval{345};
constexpr double BytesPerKilobyte = 1024;

FleetPlan makeNodes(std::size_t count) {
  FleetPlan plan;
  plan.rules = TwoServices;
  for (std::size_t n = 0; n < count; ++n)
    plan.vms.push_back(
        {"domain-" + std::to_string(n % 4), "", 12, 4, 220, {}, {}});
  return plan;
}

/** Sums over all nodes that run. */
struct Totals {
  double cpuSeconds = 0;
  double controlCpuSeconds = 0;
  double sentBytes = 0;
  double receivedBytes = 0;
  double residentKib = 0;
  double storeReads = 0;
  double storeWrites = 0;
  std::size_t nodes = 0;
};

Totals readTotals(Fleet &fleet) {
  Totals totals;
  for (std::size_t n = 0; n < fleet.vms.size(); ++n) {
    const auto &node = fleet.vms[n]->node;
    if (!node->isRunning())
      continue;
    const ProcessUsage usage(node->id());
    totals.cpuSeconds += std::chrono::duration<double>(usage.cpu()).count();
    totals.residentKib += static_cast<double>(usage.residentKib());
    totals.controlCpuSeconds +=
        fleet.metric(n, "control_cpu_nanoseconds_total") / 1e9;
    totals.sentBytes += fleet.metric(n, "control_bytes_total", "sent");
    totals.receivedBytes += fleet.metric(n, "control_bytes_total", "received");
    ++totals.nodes;
  }
  const auto stats = json::parse(
      fleet.http.get(fleet.platform, "/standin/stats").body, nullptr, false);
  totals.storeReads = stats.value("reads", 0.0);
  totals.storeWrites = stats.value("writes", 0.0);
  return totals;
}

void addRates(Table &table, const std::string &phase, double size,
              const Totals &from, const Totals &to, double seconds) {
  const double perNode = seconds * static_cast<double>(to.nodes);
  table.add(phase + ": whole process, % of a core", size,
            (to.cpuSeconds - from.cpuSeconds) * 100 / perNode);
  table.add(phase + ": control handlers, % of a core", size,
            (to.controlCpuSeconds - from.controlCpuSeconds) * 100 / perNode);
  table.add(phase + ": sent, KB/s a node", size,
            (to.sentBytes - from.sentBytes) / BytesPerKilobyte / perNode);
  table.add(phase + ": received, KB/s a node", size,
            (to.receivedBytes - from.receivedBytes) / BytesPerKilobyte /
                perNode);
  table.add(phase + ": store reads a second, all nodes", size,
            (to.storeReads - from.storeReads) / seconds);
  table.add(phase + ": store writes a second, all nodes", size,
            (to.storeWrites - from.storeWrites) / seconds);
}

double secondsSince(TimePoint start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

void measureIdle(Fleet &fleet, Table &table, double size) {
  g_usleep(std::chrono::microseconds(SettleTime).count());
  const Totals from = readTotals(fleet);
  const TimePoint start = std::chrono::steady_clock::now();
  g_usleep(std::chrono::microseconds(MeasuredTime).count());
  const double seconds = secondsSince(start);
  const Totals to = readTotals(fleet);
  addRates(table, "idle", size, from, to, seconds);
  table.add("idle: resident, MB a node", size,
            to.residentKib / 1024 / static_cast<double>(to.nodes));
}

/** Seconds from an accepted change until the last node has adopted it, by the
 * time line. */
double changeTime(Fleet &fleet, bool isOut) {
  const auto moved = fleet.command(
      {"domain", isOut ? "out" : "in", "domain-x", "--who", "Measurement"});
  const std::string version = versionIn(moved);
  fleet.command({"wait", version, "--timeout", "60"});
  const auto history = json::parse(fleet.command({"history", "--json"}).out);
  const auto acceptedMs = history.back().at("appliedAtMs").get<std::int64_t>();
  std::istringstream lines(
      fleet
          .command({"timeline", "--json", "--since", "60s", "--filter",
                    "\"configuration-adopted\""})
          .out);
  std::string line;
  std::int64_t lastMs = acceptedMs;
  while (std::getline(lines, line)) {
    const json event = json::parse(line);
    if (event.at("subject") == version)
      lastMs = std::max(lastMs, event.at("wallMs").get<std::int64_t>());
  }
  return static_cast<double>(lastMs - acceptedMs) / 1000;
}

void measureChanges(Fleet &fleet, Table &table, double size) {
  std::array<double, 5> times{};
  for (std::size_t n = 0; n < times.size(); ++n)
    times[n] = changeTime(fleet, n % 2 == 0);
  std::ranges::sort(times);
  table.add("change in force everywhere, s (median of 5)", size, times[2]);
  table.add("change in force everywhere, s (largest of 5)", size, times[4]);
  const Totals from = readTotals(fleet);
  const TimePoint start = std::chrono::steady_clock::now();
  bool isOut = false;
  while (std::chrono::steady_clock::now() - start < MeasuredTime) {
    const TimePoint next = std::chrono::steady_clock::now() + ChangeInterval;
    fleet.command(
        {"domain", isOut ? "out" : "in", "domain-x", "--who", "Measurement"});
    isOut = !isOut;
    while (std::chrono::steady_clock::now() < next)
      g_usleep(5000);
  }
  const double seconds = secondsSince(start);
  addRates(table, "changes", size, from, readTotals(fleet), seconds);
}

void measureKill(Fleet &fleet, Table &table, double size) {
  const std::size_t killed = std::max<std::size_t>(1, fleet.vms.size() / 6);
  const std::size_t left = fleet.vms.size() - killed;
  Totals from = readTotals(fleet);
  for (std::size_t n = 0; n < killed; ++n) {
    from.sentBytes -= fleet.metric(n, "control_bytes_total", "sent");
    from.receivedBytes -= fleet.metric(n, "control_bytes_total", "received");
    from.cpuSeconds -= std::chrono::duration<double>(
                           ProcessUsage(fleet.vms[n]->node->id()).cpu())
                           .count();
    from.controlCpuSeconds -=
        fleet.metric(n, "control_cpu_nanoseconds_total") / 1e9;
  }
  const TimePoint start = std::chrono::steady_clock::now();
  for (std::size_t n = 0; n < killed; ++n)
    fleet.vms[n]->node->kill();
  Fleet::waitUntil(
      [&] {
        for (std::size_t n = killed; n < fleet.vms.size(); ++n)
          if (fleet.metric(n, "members_present") != static_cast<double>(left))
            return false;
        return true;
      },
      std::chrono::seconds(90));
  const double seconds = secondsSince(start);
  const Totals to = readTotals(fleet);
  table.add("a sixth killed: known to all, s", size, seconds);
  addRates(table, "a sixth killed", size, from, to, seconds);
}

/** \returns false if the nodes did not start. */
bool measureSize(Table &table, std::size_t count) {
  Fleet fleet(makeNodes(count));
  if (!fleet.start()) {
    std::cerr << count << " nodes did not start\n";
    return false;
  }
  const auto size = static_cast<double>(count);
  measureIdle(fleet, table, size);
  measureChanges(fleet, table, size);
  measureKill(fleet, table, size);
  std::cerr << count << " nodes measured\n";
  return true;
}

int run(const std::vector<std::size_t> &sizes) {
  Table table(TargetMembers);
  for (const std::size_t count : sizes)
    if (!measureSize(table, count))
      return 1;
  std::cout << "\nReal nodes, over members\n\n";
  table.print();
  return 0;
}

} // namespace

/** The arguments are the sizes to measure, in members. */
int main(int argc, char **argv) {
  std::vector<std::size_t> sizes{8, 16, 32, 64, 128};
  if (argc > 1) {
    sizes.clear();
    for (int n = 1; n < argc; ++n)
      sizes.push_back(std::strtoul(argv[n], nullptr, 10));
  }
  return tools::runTool([&] { return run(sizes); });
}
