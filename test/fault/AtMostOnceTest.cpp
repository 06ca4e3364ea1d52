/** \file
 * Calls that run at most once, without faults of processes. */
#include "support/FaultFixture.h"
#include "support/ScriptedServer.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;

TEST_GROUP(AtMostOnce){};

TEST(AtMostOnce, ResendAfterAnAnswerGetsTheSameAnswer) {
  Fleet fleet(makePlan(2, 1));
  CHECK(fleet.start());
  const auto send = [&](std::size_t node, const std::string &body) {
    return fleet.http.send(fleet.callers()[node], "POST", "/release/9",
                           {{"Idempotency-Key", "k"}}, body);
  };
  const auto first = send(0, "pallet");
  CHECK_EQUAL(200, first.status);
  HttpAnswer again;
  CHECK(Fleet::waitUntil([&] {
    again = send(1, "pallet");
    return again.status != 409;
  }));
  STRCMP_EQUAL(first.body.c_str(), again.body.c_str());
  CHECK_EQUAL(422, send(2, "another pallet").status);
  CHECK_EQUAL(1, countRuns(fleet, "k"));
}

// Guards against a refusal that a target writes once more on a kept connection
// and that is taken for the answer to the next call, which runs.
TEST(AtMostOnce, RefusalThatATargetRepeatsIsNotTheAnswerToTheNextCall) {
  FleetPlan plan;
  plan.rules = "service release path /release timeout 2s  # Test\n";
  plan.vms.push_back({"domain-0", "", 0, 0, 0, {}, {}});
  Fleet fleet(std::move(plan));
  std::atomic<bool> hasRefused = false;
  std::atomic<unsigned> runs = 0;
  const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\n"
                              "Plantainhatch-Outcome: not-run\r\n"
                              "Content-Length: 0\r\n\r\n";
  const Address address = freeAddress();
  const ScriptedServer target(address, [&](ScriptedServer::Connection &it) {
    bool isRepeating = false;
    while (it.readRequest()) {
      if (!hasRefused.exchange(true)) {
        isRepeating = true;
        it.write(refusal);
        continue;
      }
      ++runs;
      if (isRepeating)
        it.write(refusal);
      it.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
    }
  });
  CHECK(fleet.start());
  const nlohmann::json announcement{
      {"service", "release"}, {"address", address.toString()},
      {"slots", 4},           {"connections", 10},
      {"coldSlots", 4},       {"bootId", "repeating"}};
  CHECK_EQUAL(200,
              fleet.http
                  .send(fleet.vms[0]->targets, "POST",
                        "/plantainhatch/v1/announce", {}, announcement.dump())
                  .status);
  const auto send = [&] {
    return fleet.http.send(fleet.callers()[0], "POST", "/release/9", {},
                           "pallet");
  };
  CHECK_EQUAL(503, send().status);
  CHECK(hasRefused);
  CHECK_EQUAL(0, runs.load());
  const HttpAnswer second = send();
  CHECK_EQUAL(200, second.status);
  CHECK_EQUAL(1, runs.load());
}

TEST(AtMostOnce, CallWithAKeyThatNoTargetTakesCanBeSentAgain) {
  Fleet fleet(makePlan(1, 1));
  CHECK(fleet.start());
  const auto vm = fleet.vmOf("release");
  fleet.setTarget(vm, {{"sheds", true}});
  const auto send = [&] {
    return fleet.http.send(fleet.callers()[0], "POST", "/release/9",
                           {{"Idempotency-Key", "k"}}, "pallet");
  };
  const auto refused = send();
  CHECK_EQUAL(503, refused.status);
  STRCMP_EQUAL("not-run", outcomeOf(refused).c_str());
  CHECK_EQUAL(0, countRuns(fleet, "k"));
  fleet.setTarget(vm, {{"sheds", false}});
  CHECK(Fleet::waitUntil([&] { return send().status == 200; }));
  CHECK_EQUAL(1, countRuns(fleet, "k"));
}

TEST(AtMostOnce, ClientLibraryDoesNotSendAgainBehindTheGate) {
  Fleet fleet(makePlan(1, 1));
  CHECK(fleet.start());
  const auto vm = fleet.vmOf("status");
  const Address node = fleet.vms[vm]->callers;
  CHECK_EQUAL(200, fleet.http.get(node, "/status").status);
  fleet.setTarget(vm, {{"closesReused", true}});
  // The connection is kept alive from the first call, and is cut after the
  // target has read the second.
  fleet.http.get(node, "/status");
  const auto before = fleet.targetStats(vm).at("runs").get<unsigned>();
  const double attemptsBefore = fleet.metric(vm, "attempts_total");
  const auto answer = fleet.http.send(node, "GET", "/status/second");
  const auto runs = fleet.targetStats(vm).at("runs").get<unsigned>() - before;
  const double attempts = fleet.metric(vm, "attempts_total") - attemptsBefore;
  CHECK_EQUAL(attempts, runs);
  CHECK(answer.status == 200 || outcomeOf(answer) == "unknown");
}
