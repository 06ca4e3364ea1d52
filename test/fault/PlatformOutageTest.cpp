/** \file
 * Serving, joining and changing while the platform is down, slow or set back.
 */
#include "base/Settings.h"
#include "support/FaultFixture.h"

#include <nlohmann/json.hpp>

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;

TEST_GROUP(PlatformOutage){};

TEST(PlatformOutage, ServingGoesOnAndANewNodeTakesTheVersionFromItsPeers) {
  Fleet fleet(makePlan(2, 1));
  CHECK(fleet.start());
  fleet.setPlatform({{"mode", "down"}});
  const auto vm = fleet.vmOf("status", 1);
  fleet.vms[vm]->node->kill();
  CHECK_EQUAL(200, fleet.http.get(fleet.callers()[0], "/status").status);
  // The seeds of the settings stand in for the rows that cannot be read.
  json settings = json::parse(readFile(fleet.vms[vm]->settingsFile).value());
  settings["seeds"] = {fleet.vms[0]->peers.toString()};
  fleet.write("node-" + std::to_string(fleet.vms[vm]->callers.port) + ".json",
              settings.dump());
  fleet.startNode(vm);
  CHECK(Fleet::waitUntil([&] {
    const json state = fleet.status(vm);
    return !state.is_null() && state.value("version", 0) == 1 &&
           state.at("gate").at("state") != "absent";
  }));
  CHECK_EQUAL(200, fleet.http.get(fleet.vms[vm]->callers, "/status").status);
  CHECK(Fleet::waitUntil(
      [&] { return !fleet.status(0).value("storeUp", true); }));
}

TEST(PlatformOutage, ChangesAreRefusedWithAReasonAndNothingIsChanged) {
  Fleet fleet(makePlan(1, 1));
  CHECK(fleet.start());
  fleet.setPlatform({{"mode", "down"}});
  const auto refused =
      fleet.command({"domain", "out", "domain-0", "--who", "Night shift"});
  CHECK_EQUAL(1, refused.code);
  CHECK(refused.err.find("store does not answer") != std::string::npos);
  fleet.setPlatform({{"mode", "up"}});
  STRCMP_EQUAL("1",
               std::to_string(fleet.status(0).value("version", 0)).c_str());
}

TEST(PlatformOutage, LostAnswerOfAnAcceptedChangeIsFoundOut) {
  Fleet fleet(makePlan(1, 1));
  CHECK(fleet.start());
  // The write of the text is lost once and the command stops there; the swap
  // is lost in the second run.
  fleet.setPlatform({{"mode", "lose"}, {"losses", 1}});
  const auto first =
      fleet.command({"domain", "out", "domain-0", "--who", "Night shift"});
  const auto second =
      fleet.command({"domain", "out", "domain-0", "--who", "Night shift"});
  CHECK_EQUAL_TEXT(0, second.code, (first.err + second.err).c_str());
  const auto history = json::parse(fleet.command({"history", "--json"}).out);
  CHECK_EQUAL(2, history.size());
  CHECK(first.code == 0 || first.code == 1);
}

TEST(PlatformOutage, StoreThatIsSetBackTakesNoNodeBackAndIsRepaired) {
  Fleet fleet(makePlan(1, 2));
  CHECK(fleet.start());
  const auto head =
      fleet.http.get(fleet.platform, "/standin/row?table=test-config&key=head");
  const auto moved =
      fleet.command({"domain", "out", "domain-9", "--who", "Night shift"});
  CHECK_EQUAL(
      0, fleet.command({"wait", versionIn(moved), "--timeout", "20"}).code);
  fleet.http.send(
      fleet.platform, "POST", "/standin/set-row", {},
      json{{"table", "test-config"}, {"key", "head"}, {"value", head.body}}
          .dump());
  CHECK(Fleet::waitUntil([&] {
    const auto row = fleet.http.get(fleet.platform,
                                    "/standin/row?table=test-config&key=head");
    return json::parse(row.body).value("version", 0) == 2;
  }));
  for (std::size_t n = 0; n < fleet.vms.size(); ++n)
    CHECK_EQUAL(2, fleet.status(n).value("version", 0));
  const auto next =
      fleet.command({"domain", "in", "domain-9", "--who", "Day shift"});
  CHECK_EQUAL(0, next.code);
  CHECK_EQUAL(0, fleet.command({"wait", "3", "--timeout", "20"}).code);
}

TEST(PlatformOutage, RacingOperatorsAreAcceptedInOrderOrToldWhoWon) {
  constexpr int Operators = 8;
  Fleet fleet(makePlan(1, 1));
  CHECK(fleet.start());
  std::vector<CommandOutput> results(Operators);
  std::vector<std::thread> threads;
  threads.reserve(Operators);
  for (int n = 0; n < Operators; ++n)
    threads.emplace_back([&, n] {
      results[static_cast<std::size_t>(n)] =
          fleet.command({"domain", n % 2 == 0 ? "out" : "in", "domain-0",
                         "--who", "Operator " + std::to_string(n)});
    });
  for (std::thread &it : threads)
    it.join();
  std::size_t accepted = 0;
  for (const CommandOutput &it : results) {
    if (it.err.find("accepted as version") != std::string::npos)
      ++accepted;
    else if (it.code == 1)
      CHECK_TEXT(it.err.find("another change won: version") !=
                         std::string::npos &&
                     it.err.find("asked by") != std::string::npos,
                 it.err.c_str());
    else
      CHECK_TEXT(it.err.find("in force already") != std::string::npos,
                 it.err.c_str());
  }
  const auto history = json::parse(fleet.command({"history", "--json"}).out);
  CHECK_EQUAL(accepted + 1, history.size());
  for (std::size_t n = 0; n < history.size(); ++n)
    CHECK_EQUAL(n + 1, history[n].at("version").get<std::size_t>());
}
