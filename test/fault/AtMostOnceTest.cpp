/** \file
 * Calls that run at most once, without faults of processes. */
#include "support/FaultFixture.h"

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
