/** \file
 * Roll-outs at real nodes on loopback. */
#include "platform/SiteFixture.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;
using std::chrono::seconds;

TEST_GROUP(Rollouts) {
  static constexpr std::size_t New = 3;
  static constexpr seconds Limit{12};
  SiteFixture site{{"zone-0", "zone-1", "zone-0", "zone-1"}};
  unsigned calls = 0;

  void start() {
    for (std::size_t n = 0; n < site.machines.size(); ++n) {
      json settings = json::parse(site.makeSettingsFile(n, "shop"));
      // Many trials, so that few calls are needed.
      settings["site"]["rollout"] = {{"exposureShare", 0.5},
                                     {"rollbackMs", 5'000}};
      site.writeSettingsFile(n, settings.dump());
    }
    CHECK(site.start());
  }

  void order(const std::string &version, int durationSeconds) {
    site.writeRow("rollout/shop", json{{"service", "shop"},
                                       {"target", version},
                                       {"duration_s", durationSeconds}}
                                      .dump());
  }

  /** Replaces the target of the machine New by one of version v2. */
  void startNewVersion(SiteTarget::Manner manner) {
    SiteTarget &target = *site.machines[New]->target;
    target.crash();
    target.setSoftwareVersion("v2");
    target.restart("i-v2", seconds(0));
    target.setManner(manner);
    LONGS_EQUAL(200, site.beat(New, "ready"));
  }

  void callOnce() {
    const std::string id = "c-" + std::to_string(++calls);
    site.call(calls % site.machines.size(), "GET", "/v1/x", id);
  }

  bool callUntil(const std::string &state) {
    const auto isReached = [&] {
      callOnce();
      const json row =
          json::parse(site.rowOf("status", "rollout/shop"), nullptr, false);
      return row.is_object() && row.value("state", "") == state;
    };
    return Fleet::waitUntil(isReached, Limit);
  }

  /** Of \p count calls through a machine, how many were answered. */
  unsigned runsAt(std::size_t machine, unsigned count) {
    unsigned good = 0;
    for (unsigned n = 0; n < count; ++n) {
      const std::string id = "r-" + std::to_string(++calls);
      const auto answer = site.call(machine, "GET", "/v1/x", id);
      good += answer.status == 200 ? 1 : 0;
    }
    return good;
  }

  /** The decision to take the version back, if it was logged. */
  std::optional<json> findFault() {
    for (const auto &machine : site.machines) {
      std::ifstream log(machine->logFile + ".out");
      for (std::string line; std::getline(log, line);) {
        json entry = json::parse(line, nullptr, false);
        if (entry.is_object() && entry.value("phase", "") == "rolled-back" &&
            entry.value("bad", 0) > 0)
          return entry;
      }
    }
    return std::nullopt;
  }

  unsigned runsOfNew() const { return site.machines[New]->target->runCount(); }
};

// Guards against a bad version that keeps getting calls.
TEST(Rollouts, BadVersionIsRolledBackAndGetsNothingMore) {
  start();
  order("v2", 60);
  CHECK(callUntil("running"));
  startNewVersion(SiteTarget::Manner::Fail);
  CHECK(callUntil("rolled_back"));
  CHECK(runsOfNew() < 50);
  const unsigned before = runsOfNew();
  for (unsigned n = 0; n < 100; ++n)
    callOnce();
  LONGS_EQUAL(before, runsOfNew());
  // A process that has not heard of it must not try the version out either.
  site.machines[0]->node.reset();
  site.startNode(0);
  CHECK(Fleet::waitUntil([&] { return site.isReady(0); }));
  for (unsigned n = 0; n < 100; ++n)
    callOnce();
  LONGS_EQUAL(before, runsOfNew());
}

// Guards against a good version that is not completed by the deadline, and
// against former targets that are still called then.
TEST(Rollouts, GoodVersionIsCompletedInTime) {
  start();
  order("v2", 4);
  CHECK(callUntil("running"));
  const auto orderedAt = std::chrono::steady_clock::now();
  startNewVersion(SiteTarget::Manner::Answer);
  CHECK(callUntil("completed"));
  CHECK(std::chrono::steady_clock::now() - orderedAt < seconds(4));
  const unsigned before = runsOfNew();
  for (unsigned n = 0; n < 40; ++n)
    callOnce();
  LONGS_EQUAL(before + 40, runsOfNew());
}

// Guards against a broken answer that counts as a good one as well.
TEST(Rollouts, BrokenAnswersCountOnce) {
  start();
  order("v2", 60);
  CHECK(callUntil("running"));
  startNewVersion(SiteTarget::Manner::BreakOff);
  CHECK(callUntil("rolled_back"));
  std::optional<json> fault;
  CHECK(Fleet::waitUntil([&] { return (fault = findFault()).has_value(); }));
  LONGS_EQUAL(fault->at("bad").get<int>(), fault->at("answers").get<int>());
}

// Guards against refused calls at a node that starts anew when the service has
// only the version that it was moved to.
TEST(Rollouts, RestartedNodeServesWithTheCompletedVersionAtOnce) {
  start();
  order("v2", 4);
  CHECK(callUntil("running"));
  startNewVersion(SiteTarget::Manner::Answer);
  CHECK(callUntil("completed"));
  for (std::size_t n = 0; n < New; ++n)
    LONGS_EQUAL(200, site.beat(n, "draining"));
  site.machines[0]->node.reset();
  site.startNode(0);
  CHECK(Fleet::waitUntil([&] { return site.isReady(0); }));
  LONGS_EQUAL(20, runsAt(0, 20));
}

// Guards against a decision that is forgotten because the store is away when it
// is made.
TEST(Rollouts, RollBackIsWrittenOnceTheStoreIsBack) {
  start();
  order("v2", 60);
  CHECK(callUntil("running"));
  startNewVersion(SiteTarget::Manner::Fail);
  site.setStore({{"mode", "down"}});
  for (unsigned n = 0; n < 400; ++n)
    callOnce();
  const unsigned before = runsOfNew();
  CHECK(before < 50);
  site.setStore({{"mode", "up"}});
  CHECK(callUntil("rolled_back"));
  LONGS_EQUAL(before, runsOfNew());
}
