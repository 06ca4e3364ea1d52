/** \file
 * What a node does once it has heard of a newer version of the configuration
 * than the one that it has: a real node on loopback, and a peer that names a
 * version and does not hand it out. */
#include "connection/ListeningSocket.h"
#include "connection/MessageCodec.h"
#include "connection/PeerSocket.h"
#include "operator/MainLoop.h"
#include "platform/SiteFixture.h"
#include "process/Message.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;
using std::chrono::seconds;

namespace {

/** Time in which a change must be in force. */
constexpr seconds ApplyLimit{2};

/** A node of the fleet that has a newer version, and whose bulk replies do not
 * come, as its link is full. */
class SlowPeer {
public:
  SlowPeer(SiteFixture &site, std::uint64_t newer)
      : site(site),
        listening(ListeningSocket::listen(
            address, "peer",
            [this](StreamSocket it) { held.push_back(std::move(it)); })),
        socket(PeerSocket::bind(address, [](std::string_view) {})) {
    const json status = json::parse(
        site.http.get(site.machines[0]->forwards, "/plantainhatch/v1/status")
            .body);
    version = status.at("version").get<std::uint64_t>() + newer;
  }

  /** Tells the first node of the version. */
  void announce() {
    Message message;
    message.header.cluster = "site";
    message.header.sender = address;
    message.header.configurationVersion = version;
    message.body = Gossip{};
    socket.value()->send(site.machines[0]->peers,
                         MessageCodec("0123456789abcdef").encode(message));
  }

private:
  SiteFixture &site;
  Address address = freeAddress();
  std::vector<StreamSocket> held;
  Checked<std::unique_ptr<ListeningSocket>> listening;
  Checked<std::unique_ptr<PeerSocket>> socket;
  std::uint64_t version = 0;
};

} // namespace

TEST_GROUP(OutdatedVersion) {
  SiteFixture site{{"zone-0"}, SiteLinks::Faulty};
};

// Guards against a node that runs calls by its own version long after it has
// heard of a newer one that it cannot get.
TEST(OutdatedVersion, CallIsNotRunByAVersionThatIsKnownToBeTooOld) {
  CHECK(site.start());
  CHECK_EQUAL(200, site.call(0, "GET", "/read/x", "before").status);
  site.machines[0]->storeLink->setMode(FaultyLink::Mode::HoldBoth);
  SlowPeer peer(site, 1'000);
  peer.announce();
  pause(ApplyLimit);
  for (unsigned n = 0; n < 5; ++n) {
    const std::string id = "late-" + std::to_string(n);
    const HttpAnswer answer = site.call(0, "GET", "/read/x", id);
    CHECK_EQUAL(503, answer.status);
    CHECK_FALSE(answer.header("Retry-After").empty());
    CHECK_EQUAL(0, site.runsOf(id));
  }
}

// Guards against a node that serves nothing more because of a version that the
// store does not have.
TEST(OutdatedVersion, StoreThatHasNoNewerVersionEndsTheDoubt) {
  CHECK(site.start());
  site.machines[0]->storeLink->setMode(FaultyLink::Mode::HoldBoth);
  SlowPeer peer(site, 1'000'000);
  peer.announce();
  pause(seconds(1));
  site.machines[0]->storeLink->setMode(FaultyLink::Mode::Pass);
  CHECK(Fleet::waitUntil(
      [&] { return site.call(0, "GET", "/read/x", "after").status == 200; },
      seconds(3) + ApplyLimit));
}
