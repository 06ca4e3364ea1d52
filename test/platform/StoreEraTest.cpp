/** \file
 * A store that comes back from a copy some seconds old: real nodes on loopback,
 * and a client whose store answers late. */
#include "connection/ListeningSocket.h"
#include "operator/MainLoop.h"
#include "platform/SiteFixture.h"
#include "platform/StoreClient.h"
#include "support/ScriptedServer.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t Left = 0;
/** The machine alone in its failure domain. */
constexpr std::size_t Alone = 2;

std::string answerOfEra(const std::string &era) {
  const std::string body =
      R"({"rows":[],"version_number":5,"now_ms":1,"has_more":false})";
  return "HTTP/1.1 200 OK\r\n" +
         (era.empty() ? "" : "Store-Era: " + era + "\r\n") +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_GROUP(StoreEra) {
  SiteFixture site{{"zone-0", "zone-0", "zone-1"}};
  unsigned calls = 0;

  unsigned statusAt(std::size_t n, const std::string &path) {
    return site.call(n, "GET", path, "era-" + std::to_string(++calls)).status;
  }
  bool servesEverywhere(const std::string &path) {
    bool serves = true;
    for (std::size_t n = 0; n < site.machines.size(); ++n)
      serves =
          site.beat(n, "ready") == 200 && statusAt(n, path) == 200 && serves;
    return serves;
  }
  void comesIntoForce(const std::string &path, milliseconds limit) {
    CHECK(Fleet::waitUntil([&] { return servesEverywhere(path); }, limit));
  }
  /** Runs at a target while all nodes take calls for \p time. */
  unsigned runsDuring(std::size_t target, milliseconds time) {
    const unsigned before = site.machines[target]->target->runCount();
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      servesEverywhere("/read/x");
      pause(milliseconds(20));
    }
    return site.machines[target]->target->runCount() - before;
  }
  void setBack() { CHECK_EQUAL(200, site.setStore({{"restore", true}})); }
  void copy() { CHECK_EQUAL(200, site.setStore({{"copy", true}})); }
};

// Guards against a node that goes back to what the copy had, and one that takes
// nothing new as its numbers are below those of before.
TEST(StoreEra, ConfigurationStaysInForceAndTheNextOneTakesEffect) {
  CHECK(site.start());
  copy();
  for (unsigned version = 2; version < 8; ++version)
    site.writeConfiguration(version);
  comesIntoForce("/v7/x", seconds(2));
  setBack();
  const auto end = std::chrono::steady_clock::now() + seconds(3);
  while (std::chrono::steady_clock::now() < end)
    CHECK(servesEverywhere("/v7/x"));
  site.writeConfiguration(7);
  pause(seconds(1));
  CHECK(servesEverywhere("/v7/x"));
  site.writeConfiguration(9);
  comesIntoForce("/v9/x", seconds(2));
}

// Guards against an older document that is in force for a moment, as the
// operator writes again all that it wrote, in its order.
TEST(StoreEra, DocumentsThatAreWrittenAgainInOrderTakeNothingBack) {
  CHECK(site.start());
  copy();
  site.writeConfiguration(2);
  site.writeConfiguration(7);
  comesIntoForce("/v7/x", seconds(2));
  setBack();
  for (const unsigned version : {2, 2, 2, 2}) {
    site.writeConfiguration(version);
    const auto end = std::chrono::steady_clock::now() + milliseconds(400);
    while (std::chrono::steady_clock::now() < end)
      CHECK(servesEverywhere("/v7/x"));
  }
  site.writeConfiguration(7);
  site.writeConfiguration(8);
  comesIntoForce("/v8/x", seconds(2));
}

// Guards against a domain that receives work again, as its row is missing.
TEST(StoreEra, DomainThatIsOutStaysOutUntilItsRowIsWrittenAgainAndRemoved) {
  CHECK(site.start());
  copy();
  site.writeRow("evacuate/zone-1", "{}");
  pause(seconds(2));
  setBack();
  const unsigned whileMissing = runsDuring(Alone, seconds(3));
  CHECK_EQUAL(0, whileMissing);
  site.writeRow("evacuate/zone-1", "{}");
  // Beyond the time in which the operators write again.
  const unsigned afterwards = runsDuring(Alone, seconds(11));
  CHECK_EQUAL(0, afterwards);
  site.writeRow("evacuate/zone-1", std::nullopt);
  CHECK(Fleet::waitUntil(
      [&] { return runsDuring(Alone, milliseconds(100)) > 0; }, seconds(2)));
}

// Guards against a domain that is used although the table has its row, and one
// that stays out once the operator has removed the row again.
TEST(StoreEra, DomainWhoseRowTheCopyBringsBackIsOutUntilItIsRemovedAgain) {
  CHECK(site.start());
  site.writeRow("evacuate/zone-1", "{}");
  copy();
  pause(seconds(1));
  site.writeRow("evacuate/zone-1", std::nullopt);
  pause(seconds(2));
  setBack();
  pause(seconds(2));
  const unsigned whileOut = runsDuring(Alone, seconds(1));
  CHECK_EQUAL(0, whileOut);
  site.writeRow("evacuate/zone-1", std::nullopt);
  CHECK(Fleet::waitUntil(
      [&] { return runsDuring(Alone, milliseconds(100)) > 0; }, seconds(2)));
}

// Guards against a row that only the copy's time had, after which the worker is
// used again once all nodes have started anew.
TEST(StoreEra, DepartureIsRememberedAcrossTheCopyAndTheRestartOfAllNodes) {
  CHECK(site.start());
  copy();
  SiteMachine &machine = *site.machines[Left];
  const std::string path = "/instances/" + machine.target->name();
  const auto late = machine.target->heartbeat("ready", machine.shownTarget);
  CHECK_EQUAL(200, site.http.send(machine.targets, "DELETE", path).status);
  pause(seconds(1));
  setBack();
  pause(seconds(2));
  for (const auto &it : site.machines)
    it->node->kill();
  for (std::size_t n = 0; n < site.machines.size(); ++n)
    site.startNode(n);
  CHECK(Fleet::waitUntil([&] { return site.isReady(Left); }));
  CHECK_EQUAL(
      200,
      site.http.send(machine.targets, "PUT", path, {}, late.dump()).status);
  const unsigned before = machine.target->runCount();
  for (unsigned round = 0; round < 30; ++round)
    for (std::size_t n = 0; n < site.machines.size(); ++n) {
      if (n != Left)
        site.beat(n, "ready");
      statusAt(n, "/read/x");
    }
  CHECK_EQUAL(before, machine.target->runCount());
}

TEST_GROUP(StoreEraClient){};

// Guards against an answer that was under way since before the copy.
TEST(StoreEraClient, LateAnswerOfAnOlderEraCountsAsNone) {
  const Address address = freeAddress();
  const ScriptedServer server(address, [](ScriptedServer::Connection &it) {
    for (const char *const era : {"1", "0", "", "2", "1"}) {
      it.readRequest();
      it.write(answerOfEra(era));
    }
  });
  StoreClient client("http://" + address.toString());
  unsigned rises = 0;
  client.addEraListener([&] { ++rises; });
  const auto read = [&] {
    std::optional<RowsResult> result;
    client.readTable("op", [&](RowsResult it) { result = std::move(it); });
    CHECK(Fleet::waitUntil([&] { return result.has_value(); }));
    return *result;
  };
  const RowsResult first = read();
  CHECK(first.result == StoreResult::Ok);
  CHECK_EQUAL(makeStoreVersion(1, 5), first.storeVersion);
  CHECK(read().result == StoreResult::Unknown);
  CHECK_EQUAL(makeStoreVersion(1, 5), read().storeVersion);
  CHECK_EQUAL(makeStoreVersion(2, 5), read().storeVersion);
  CHECK(read().result == StoreResult::Unknown);
  // The first answer is no rise.
  CHECK_EQUAL(1, rises);
}

// Guards against changes since a number that the store has given out twice, and
// a write that is taken for acknowledged.
TEST(StoreEraClient, FeedOfANewerEraThanAskedForIsGone) {
  const Address address = freeAddress();
  const ScriptedServer server(address, [](ScriptedServer::Connection &it) {
    for (const char *const era : {"1", "0"}) {
      it.readRequest();
      it.write(answerOfEra(era));
    }
  });
  StoreClient client("http://" + address.toString());
  std::optional<FeedResult> feed;
  client.pollTableChanges("op", 5, milliseconds(0),
                          [&](FeedResult it) { feed = std::move(it); });
  CHECK(Fleet::waitUntil([&] { return feed.has_value(); }));
  CHECK(feed->kind == FeedResult::Kind::HistoryGone);
  std::optional<TransactionResult> written;
  client.commit("t", {{}, {{"key", "value"}}, {}},
                [&](TransactionResult it) { written = std::move(it); });
  CHECK(Fleet::waitUntil([&] { return written.has_value(); }));
  CHECK(written->result == StoreResult::Unknown);
}
