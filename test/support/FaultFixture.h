/** \file
 * Plans and small helpers for tests with real processes. */
#ifndef PLANTAINHATCH_TEST_SUPPORT_FAULTFIXTURE_H
#define PLANTAINHATCH_TEST_SUPPORT_FAULTFIXTURE_H

#include "support/Fleet.h"

#include <chrono>
#include <csignal>
#include <string>
#include <vector>

namespace plantainhatch::test {

/** Rules with one idempotent service and one that runs at most once. */
inline const std::string TwoServices =
    "service status path /status timeout 2s  # Test\n"
    "service release path /release once key Idempotency-Key timeout 2s  # "
    "Test\n";

/** Targets of both services spread over \p domains failure domains.
 * \param perDomain targets of each service in each of them. */
inline FleetPlan makePlan(unsigned domains, unsigned perDomain,
                          const std::vector<std::string> &targetOptions = {}) {
  FleetPlan plan;
  plan.rules = TwoServices;
  for (unsigned domain = 0; domain < domains; ++domain) {
    for (unsigned n = 0; n < perDomain; ++n) {
      const std::string name = "domain-" + std::to_string(domain);
      plan.vms.push_back({name, "status", 12, 4, 220, targetOptions, {}});
      plan.vms.push_back({name, "release", 12, 4, 220, targetOptions, {}});
    }
  }
  return plan;
}

/** Warm targets of one idempotent service, in turn over \p domains failure
 * domains. */
inline FleetPlan makeStatusPlan(unsigned targets, unsigned domains,
                                unsigned slots,
                                std::chrono::milliseconds serviceTime) {
  FleetPlan plan;
  plan.rules = "service status path /status timeout 2s  # Test\n";
  const std::vector<std::string> options{"--service-ms",
                                         std::to_string(serviceTime.count())};
  for (unsigned n = 0; n < targets; ++n)
    plan.vms.push_back({"domain-" + std::to_string(n % domains),
                        "status",
                        slots,
                        slots,
                        220,
                        options,
                        {}});
  return plan;
}

/** A run that a target has noted before it started it. */
struct JournalEntry {
  std::string key;
  std::string requestId;
};

/** The runs with an idempotency key, of all targets that ever lived. */
std::vector<JournalEntry> readJournal(const Fleet &fleet);

/** How often targets have started to run a key. */
unsigned countRuns(const Fleet &fleet, const std::string &key);

/** What a caller is told, in short: "answer", "not-run", "unknown" or "cut". */
std::string outcomeOf(const HttpAnswer &answer);

/** The version that a command has printed. */
inline std::string versionIn(const CommandOutput &output) {
  return output.out.substr(0, output.out.find('\n'));
}

} // namespace plantainhatch::test

#endif
