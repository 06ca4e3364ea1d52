/** \file
 * Departures of workers that must outlast the node that acknowledged them. */
#include "operator/MainLoop.h"
#include "platform/SiteFixture.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using std::chrono::milliseconds;

namespace {

/** The machine whose worker leaves. */
constexpr std::size_t Left = 0;

} // namespace

TEST_GROUP(Departures) {
  SiteFixture site{{"zone-0", "zone-0", "zone-1"}};

  nlohmann::json makeHeartbeat(const std::string &state) {
    SiteMachine &machine = *site.machines[Left];
    return machine.target->heartbeat(state, machine.shownTarget);
  }

  unsigned put(std::size_t node, const nlohmann::json &heartbeat) {
    return site.http
        .send(site.machines[node]->targets, "PUT",
              "/instances/" + site.machines[Left]->target->name(), {},
              heartbeat.dump())
        .status;
  }

  unsigned leave(std::size_t node = Left) {
    return site.http
        .send(site.machines[node]->targets, "DELETE",
              "/instances/" + site.machines[Left]->target->name())
        .status;
  }

  void restartNode(std::size_t n) {
    site.machines[n]->node->kill();
    site.startNode(n);
    CHECK(Fleet::waitUntil([&] { return site.isReady(n); }));
  }

  /** Sends calls to all machines, while the other workers go on with their
   * heartbeats. \return the runs at the worker that has left. */
  unsigned runsAtTheOneThatLeft() {
    SiteTarget &target = *site.machines[Left]->target;
    const unsigned before = target.runCount();
    for (unsigned round = 0; round < 30; ++round) {
      site.beat(1, "ready");
      site.beat(2, "ready");
      for (std::size_t n = 0; n < site.machines.size(); ++n)
        site.call(n, "GET", "/read/x",
                  "late-" + std::to_string(round) + "-" + std::to_string(n));
    }
    return target.runCount() - before;
  }
};

// Guards against a worker that serves again after its leaving was acknowledged,
// as its node was killed and a heartbeat that it had sent before came late.
TEST(Departures, WorkerThatLeftIsNotUsedAfterARestartAndALateHeartbeat) {
  CHECK(site.start());
  const auto late = makeHeartbeat("ready");
  CHECK_EQUAL(200, leave());
  restartNode(Left);
  CHECK_EQUAL(200, put(Left, late));
  const unsigned runs = runsAtTheOneThatLeft();
  CHECK_EQUAL(0, runs);
}

// Guards against the same where the worker has said that it drains.
TEST(Departures, WorkerThatDrainsIsNotUsedAfterARestartAndALateHeartbeat) {
  CHECK(site.start());
  const auto late = makeHeartbeat("ready");
  CHECK_EQUAL(200, put(Left, makeHeartbeat("draining")));
  restartNode(Left);
  CHECK_EQUAL(200, put(Left, late));
  const unsigned runs = runsAtTheOneThatLeft();
  CHECK_EQUAL(0, runs);
}

// Guards against the same where the node has started anew before the worker
// leaves, and does not know it yet.
TEST(Departures, WorkerThatLeftBeforeItsNodeKnewItIsNotUsed) {
  CHECK(site.start());
  const auto late = makeHeartbeat("ready");
  restartNode(Left);
  CHECK_EQUAL(200, leave());
  CHECK_EQUAL(200, put(Left, late));
  const unsigned runs = runsAtTheOneThatLeft();
  CHECK_EQUAL(0, runs);
}

// Guards against the same where the store is away from before the leaving on.
TEST(Departures, OtherNodesRememberAWorkerThatLeftWhileTheStoreWasAway) {
  CHECK(site.start());
  const auto late = makeHeartbeat("ready");
  CHECK_EQUAL(200, site.setStore({{"mode", "down"}}));
  CHECK_EQUAL(200, leave());
  restartNode(Left);
  CHECK_EQUAL(200, put(Left, late));
  const unsigned runs = runsAtTheOneThatLeft();
  CHECK_EQUAL(0, runs);
}

// Guards against the same where all nodes are killed right after the
// acknowledgement.
TEST(Departures, StoreRemembersAWorkerThatLeftBeforeAllNodesWereKilled) {
  CHECK(site.start());
  const auto late = makeHeartbeat("ready");
  CHECK_EQUAL(200, leave());
  for (const auto &it : site.machines)
    it->node->kill();
  for (std::size_t n = 0; n < site.machines.size(); ++n)
    site.startNode(n);
  CHECK(Fleet::waitUntil([&] { return site.isReady(Left); }));
  CHECK_EQUAL(200, put(Left, late));
  const unsigned runs = runsAtTheOneThatLeft();
  CHECK_EQUAL(0, runs);
}

// Guards against a new worker at the same address that is not used, as the one
// before it has left.
TEST(Departures, NextInstanceIsUsedAlsoUnderTheSameName) {
  CHECK(site.start());
  CHECK_EQUAL(200, leave());
  restartNode(Left);
  SiteTarget &target = *site.machines[Left]->target;
  target.crash();
  target.restart(target.name(), {});
  CHECK_EQUAL(200, site.beat(Left, "ready"));
  CHECK(Fleet::waitUntil([&] { return runsAtTheOneThatLeft() > 0; }));
}

// Guards against an acknowledgement by a node that is not the worker's.
TEST(Departures, NodeOfAnotherWorkerDoesNotAcknowledgeALeaving) {
  CHECK(site.start());
  CHECK_EQUAL(409, leave(1));
  auto elsewhere = makeHeartbeat("draining");
  elsewhere["address"] = "10.9.9.9:8080";
  CHECK_EQUAL(409, put(Left, elsewhere));
}

TEST_GROUP(LoneDepartures) { SiteFixture site{{"zone-0"}}; };

// Guards against an acknowledgement that nobody but the process remembers.
TEST(LoneDepartures,
     LeavingThatNobodyElseRemembersIsInForceButNotAcknowledged) {
  CHECK(site.start());
  CHECK_EQUAL(200, site.setStore({{"mode", "down"}}));
  CHECK_EQUAL(503, site.beat(0, "draining"));
  CHECK_EQUAL(503, site.call(0, "GET", "/read/x", "refused").status);
  CHECK_EQUAL(0, site.runsOf("refused"));
  CHECK_EQUAL(200, site.setStore({{"mode", "up"}}));
  CHECK(Fleet::waitUntil([&] { return site.beat(0, "draining") == 200; }));
}
