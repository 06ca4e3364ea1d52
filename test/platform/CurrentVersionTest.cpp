/** \file
 * Whether a node knows that its version of the configuration is the newest:
 * real nodes on loopback, faults on the way to the store. */
#include "connection/BulkMessage.h"
#include "connection/ListeningSocket.h"
#include "connection/MessageCodec.h"
#include "connection/PeerSocket.h"
#include "node/FreshnessCheck.h"
#include "operator/MainLoop.h"
#include "platform/SiteFixture.h"
#include "platform/StoreClient.h"
#include "process/FreshnessGuard.h"
#include "support/ScriptedServer.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <thread>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** The platform counts a VM whose connections were lost as sound again after
 * the first time, and a change must be in force after the second. */
constexpr seconds StableWindow{3};
constexpr seconds ApplyLimit{2};

/** Reads a second that the store grants to all nodes, and the nodes of the
 * smallest site. */
constexpr unsigned StoreReadsPerSecond = 2'000;
constexpr unsigned SmallestSite = 9;

/** What keeps a node from hearing of a change. */
struct StoreFault {
  const char *name;
  std::function<void(SiteFixture &, FaultyLink &)> begin;
  std::function<void(SiteFixture &, FaultyLink &)> end;
};

void pass(SiteFixture & /*site*/, FaultyLink &link) {
  link.setMode(FaultyLink::Mode::Pass);
}

void setUp(SiteFixture &site, FaultyLink & /*link*/) {
  site.setStore({{"mode", "up"}, {"forgets", false}, {"stale", false}});
}

const StoreFault StoreFaults[] = {
    {"open connections are silent",
     [](SiteFixture &, FaultyLink &link) { link.silenceOpen(); },
     [](SiteFixture &, FaultyLink &) {}},
    {"the path is cut",
     [](SiteFixture &, FaultyLink &link) {
       link.setMode(FaultyLink::Mode::HoldBoth);
     },
     pass},
    {"answers do not arrive",
     [](SiteFixture &, FaultyLink &link) {
       link.setMode(FaultyLink::Mode::HoldBack);
     },
     pass},
    {"answers arrive late",
     [](SiteFixture &, FaultyLink &link) {
       link.setMode(FaultyLink::Mode::Delay);
     },
     pass},
    {"connections are reset, and new ones held",
     [](SiteFixture &, FaultyLink &link) {
       link.setMode(FaultyLink::Mode::HoldBoth);
       link.resetOpen();
     },
     pass},
    {"the store turns the node away",
     [](SiteFixture &site, FaultyLink &link) {
       site.setStore({{"mode", "down"}});
       link.resetOpen();
     },
     setUp},
    {"the store is slow",
     [](SiteFixture &site, FaultyLink &link) {
       site.setStore({{"mode", "slow"}, {"delayMs", 600}});
       link.resetOpen();
     },
     setUp},
    {"the history is gone",
     [](SiteFixture &site, FaultyLink &link) {
       site.setStore({{"forgets", true}});
       link.resetOpen();
     },
     setUp},
    {"the history is gone and tables are read as they were",
     [](SiteFixture &site, FaultyLink &link) {
       site.setStore({{"forgets", true}, {"stale", true}});
       link.resetOpen();
     },
     setUp},
};

} // namespace

TEST_GROUP(CurrentVersion){
    static unsigned statusOf(SiteFixture & site, std::size_t n,
                             const std::string &path){static unsigned calls = 0;
return site.call(n, "GET", path, "current-" + std::to_string(calls++)).status;
}
}
;

// Guards against a change that stays unnoticed while the one connection that is
// to report it has fallen silent.
TEST(CurrentVersion, DroppedRouteIsGoneInTimeAfterTheConnectionFellSilent) {
  SiteFixture site{{"zone-0"}, SiteLinks::Faulty};
  CHECK(site.start());
  CHECK_EQUAL(200, statusOf(site, 0, "/v1/x"));
  site.machines[0]->storeLink->silenceOpen();
  site.writeConfiguration(2);
  CHECK(Fleet::waitUntil([&] { return statusOf(site, 0, "/v1/x") == 404; },
                         StableWindow + ApplyLimit));
}

// Guards against a 404 for a route that was added in a version that the node
// has not got.
TEST(CurrentVersion, AddedRouteIsNotDeniedByANodeThatHasNotHeardOfIt) {
  for (const StoreFault &fault : StoreFaults) {
    SiteFixture site{{"zone-0"}, SiteLinks::Faulty};
    CHECK_TEXT(site.start(), fault.name);
    FaultyLink &link = *site.machines[0]->storeLink;
    fault.begin(site, link);
    pause(milliseconds(50));
    site.writeConfiguration(2);
    pause(FreshnessCheck::MaxAge);
    const TimePoint end = std::chrono::steady_clock::now() + seconds(1);
    while (std::chrono::steady_clock::now() < end) {
      const unsigned status = statusOf(site, 0, "/v2/x");
      CHECK_TEXT(status == 200 || status == 503, fault.name);
    }
    fault.end(site, link);
    CHECK_TEXT(
        Fleet::waitUntil([&] { return statusOf(site, 0, "/v2/x") == 200; },
                         StableWindow + ApplyLimit),
        fault.name);
    CHECK_TEXT(
        Fleet::waitUntil([&] { return statusOf(site, 0, "/v1/x") == 404; },
                         ApplyLimit),
        fault.name);
  }
}

// Guards against callers that are kept waiting for a route that a node without
// the store can't know of.
TEST(CurrentVersion, UnknownRouteIsRefusedSoonWhileTheStoreIsAway) {
  SiteFixture site{{"zone-0"}, SiteLinks::Faulty};
  CHECK(site.start());
  site.machines[0]->storeLink->setMode(FaultyLink::Mode::HoldBoth);
  pause(FreshnessCheck::MaxAge);
  const TimePoint askedAt = std::chrono::steady_clock::now();
  const auto answer = site.call(0, "GET", "/v9/x", "unknown", seconds(5));
  CHECK_EQUAL(503, answer.status);
  CHECK_FALSE(answer.header("Retry-After").empty());
  CHECK(std::chrono::steady_clock::now() - askedAt < seconds(1));
  CHECK_EQUAL(200, statusOf(site, 0, "/read/x"));
}

// Guards against a new process that takes an old version from a peer for the
// newest.
TEST(CurrentVersion, StartedNodeDoesNotDenyWhatItsPeerHasNotHeardOf) {
  SiteFixture site{{"zone-0", "zone-1"}, SiteLinks::Faulty};
  CHECK(site.start());
  for (const auto &it : site.machines)
    it->storeLink->setMode(FaultyLink::Mode::HoldBoth);
  site.writeConfiguration(2);
  site.machines[0]->node->kill();
  site.startNode(0);
  CHECK(Fleet::waitUntil([&] { return site.isReady(0); }));
  for (int n = 0; n < 10; ++n)
    CHECK_EQUAL(503, statusOf(site, 0, "/v2/x"));
  for (const auto &it : site.machines)
    it->storeLink->setMode(FaultyLink::Mode::Pass);
  CHECK(Fleet::waitUntil([&] { return statusOf(site, 0, "/v2/x") == 200; },
                         StableWindow + ApplyLimit));
}

// Guards against a paused node that takes the reply of a peer, which was paused
// as well, for a confirmation and passes work into a domain that is out.
TEST(CurrentVersion, PeersThatWerePausedTooDoNotConfirmOneAnother) {
  SiteFixture site{{"zone-0", "zone-1"}, SiteLinks::Faulty};
  CHECK(site.start());
  for (const auto &it : site.machines) {
    it->node->signal(SIGSTOP);
    it->storeLink->setMode(FaultyLink::Mode::HoldBoth);
  }
  site.writeRow("evacuate/zone-0", "{}");
  pause(milliseconds(1'500));
  for (const auto &it : site.machines)
    it->node->signal(SIGCONT);
  const unsigned before = site.machines[0]->target->runCount();
  const TimePoint end = std::chrono::steady_clock::now() + seconds(1);
  while (std::chrono::steady_clock::now() < end) {
    statusOf(site, 0, "/read/x");
    CHECK_EQUAL(before, site.machines[0]->target->runCount());
  }
}

// Guards against reads without a pause between them while the store says each
// time that the history is gone.
TEST(CurrentVersion, StoreThatForgetsAllIsNotReadWithoutEnd) {
  SiteFixture site{{"zone-0"}, SiteLinks::Faulty};
  CHECK(site.start());
  const auto reads = [&] {
    return json::parse(
               site.http.get(site.machines[0]->shownStore, "/standin/stats")
                   .body)
        .at("reads")
        .get<unsigned>();
  };
  site.setStore({{"forgets", true}});
  site.machines[0]->storeLink->resetOpen();
  const unsigned before = reads();
  pause(seconds(1));
  CHECK(reads() - before <= StoreReadsPerSecond / SmallestSite);
}

// Guards against a change that is not heard of while the node waits for a peer
// that has fallen silent.
TEST(CurrentVersion, SilentPeerDoesNotKeepTheVersionOfAnotherAway) {
  SiteFixture site{{"zone-0", "zone-1"}, SiteLinks::Faulty};
  CHECK(site.start());
  site.machines[0]->storeLink->setMode(FaultyLink::Mode::HoldBoth);
  const Address silent = freeAddress();
  std::vector<StreamSocket> held;
  const auto listening =
      ListeningSocket::listen(silent, "silent", [&](StreamSocket it) {
        held.push_back(std::move(it));
      });
  CHECK(listening.has_value());
  const auto sender = PeerSocket::bind(silent, [](std::string_view) {});
  CHECK(sender.has_value());
  const json status = json::parse(
      site.http.get(site.machines[0]->forwards, "/plantainhatch/v1/status")
          .body);
  Message message;
  message.header.cluster = "site";
  message.header.sender = silent;
  message.header.configurationVersion =
      status.at("version").get<std::uint64_t>() + 1'000;
  message.body = Gossip{};
  sender.value()->send(site.machines[0]->peers,
                       MessageCodec("0123456789abcdef").encode(message));
  CHECK(Fleet::waitUntil([&] { return !held.empty(); }));
  site.writeConfiguration(2);
  CHECK(Fleet::waitUntil([&] { return statusOf(site, 0, "/v2/x") == 200; },
                         ApplyLimit));
}

// Guards against a paused node that stays closed although the store answers
// again, as only the read that failed would have confirmed its version.
TEST(CurrentVersion, PausedNodeIsConfirmedByThePollAfterAReadThatFailed) {
  SiteFixture site{{"zone-0"}, SiteLinks::Faulty};
  CHECK(site.start());
  site.machines[0]->node->signal(SIGSTOP);
  site.setStore({{"mode", "down"}});
  pause(milliseconds(1'500));
  site.machines[0]->node->signal(SIGCONT);
  const TimePoint resumedAt = std::chrono::steady_clock::now();
  CHECK(Fleet::waitUntil([&] { return statusOf(site, 0, "/read/x") == 503; }));
  pause(milliseconds(150));
  site.setStore({{"mode", "up"}});
  CHECK(Fleet::waitUntil([&] { return statusOf(site, 0, "/read/x") == 200; }));
  CHECK(std::chrono::steady_clock::now() - resumedAt <
        FreshnessGuard::MaxStale - milliseconds(300));
}

// Guards against an object that counts as read, and empty, as its body has not
// come in time.
TEST(CurrentVersion, ObjectWhoseBodyDoesNotEndInTimeIsNotRead) {
  const Address address = freeAddress();
  const ScriptedServer server(address, [](ScriptedServer::Connection &it) {
    it.readRequest();
    it.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    it.readRequest();
  });
  StoreClient client("http://" + address.toString());
  std::optional<ObjectResult> read;
  client.readObject("half",
                    [&](ObjectResult result) { read = std::move(result); });
  CHECK(Fleet::waitUntil([&] { return read.has_value(); }));
  CHECK(read->result == StoreResult::Unknown);
}

// Guards against a long table that a node on a slow link never gets whole, as
// the time limit of the request ends each try.
TEST(CurrentVersion, BodyThatKeepsComingIsReadToItsEnd) {
  constexpr unsigned Pieces = 8;
  const Address address = freeAddress();
  const ScriptedServer server(address, [](ScriptedServer::Connection &it) {
    it.readRequest();
    it.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Pieces) +
             "\r\n\r\n");
    for (unsigned n = 0; n < Pieces; ++n) {
      std::this_thread::sleep_for(StoreClient::Timeout / 4);
      it.write("x");
    }
    it.readRequest();
  });
  StoreClient client("http://" + address.toString());
  std::optional<ObjectResult> read;
  client.readObject("slow",
                    [&](ObjectResult result) { read = std::move(result); });
  CHECK(Fleet::waitUntil([&] { return read.has_value(); }));
  CHECK(read->result == StoreResult::Ok);
  CHECK_EQUAL(Pieces, read->bytes.size());
}
