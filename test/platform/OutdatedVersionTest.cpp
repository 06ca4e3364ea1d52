/** \file
 * What a node does once it has heard of a newer version of the configuration
 * than the one that it has: a real node on loopback, and a peer that names a
 * version and does not hand it out. */
#include "connection/ListeningSocket.h"
#include "connection/MessageCodec.h"
#include "connection/PeerSocket.h"
#include "node/NodeServices.h"
#include "operator/MainLoop.h"
#include "platform/SiteFixture.h"
#include "process/Message.h"
#include "request/ForwardProof.h"
#include "request/HeaderNames.h"
#include "version/RuleRecord.h"

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
  /** \param newer is added to the version in force. */
  SlowPeer(SiteFixture &site, std::uint64_t newer)
      : site(site),
        listening(ListeningSocket::listen(
            address, "peer",
            [this](StreamSocket it) { held.push_back(std::move(it)); })),
        socket(PeerSocket::bind(
            address, [this](std::string_view bytes) { receive(bytes); })) {
    const json status = json::parse(
        site.http.get(site.machines[0]->forwards, "/plantainhatch/v1/status")
            .body);
    version = status.at("version").get<std::uint64_t>() + newer;
  }

  /** Tells the first node of the version. */
  void announce() { send(Gossip{}); }
  /** Answers questions for the rule of a call with this one from now on. */
  void setRule(const ServiceRule &rule) { record = encodeRecord(rule); }
  std::uint64_t newestVersion() const { return version; }

private:
  void send(const MessageBody &body) {
    Message message;
    message.header.cluster = "site";
    message.header.sender = address;
    message.header.configurationVersion = version;
    message.body = body;
    socket.value()->send(site.machines[0]->peers, codec.encode(message));
  }

  void receive(std::string_view bytes) {
    const auto message = codec.decode<Message>(bytes);
    const auto *const query =
        message ? std::get_if<RuleQuery>(&message->body) : nullptr;
    if (query != nullptr && !record.empty())
      send(RuleAnswer{query->nonce, version, record, {}, RuleAnswer::NoProof});
  }

  MessageCodec codec{"0123456789abcdef"};
  std::string record;
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

// Guards against rejections during the time that a version takes to arrive,
// although a node nearby has it: the call is run by that one's rule.
TEST(OutdatedVersion, CallIsRunByTheRuleOfANodeThatHasTheNewerVersion) {
  CHECK(site.start());
  site.machines[0]->storeLink->setMode(FaultyLink::Mode::HoldBoth);
  SlowPeer peer(site, 1'000);
  ServiceRule rule;
  rule.origin.author = "Test";
  rule.name = "added";
  rule.pathPrefix = "/added/";
  rule.host = "h.example";
  rule.isRetryable = true;
  rule.trafficSplit = {{"shop", 1}};
  peer.setRule(rule);
  peer.announce();
  pause(seconds(1));
  CHECK_EQUAL(200, site.call(0, "GET", "/added/x", "by-rule").status);
  CHECK_EQUAL(1, site.runsOf("by-rule"));
}

// Guards against a gate that passes on what an ingress runs by a version that
// the gate has long replaced.
TEST(OutdatedVersion, GateRefusesACallOfAnIngressWithAnOlderVersion) {
  CHECK(site.start());
  const auto forward = [this](std::uint64_t version, const std::string &id) {
    CallRequest request;
    request.method = "GET";
    request.target = "/read/x";
    request.headers = {{"Host", "h.example"}};
    request.id = id;
    ForwardProofFields fields;
    fields.service = "shop";
    fields.time = HybridClock().stamp(NodeServices::wallNow());
    fields.timeoutMs = "1000";
    fields.gate = site.machines[0]->forwards.toString();
    HeaderList list = request.headers;
    list.insert(list.end(),
                {{headers::NodeRequestId, id},
                 {headers::NodeTimeoutMs, fields.timeoutMs},
                 {headers::Service, fields.service},
                 {headers::Time, fields.time.toString()},
                 {headers::MayQueue, "0"},
                 {headers::Version, std::to_string(version)},
                 {headers::Proof,
                  makeForwardProof("0123456789abcdef", request, fields)}});
    return site.http.send(site.machines[0]->forwards, "GET", "/read/x", list);
  };
  const auto versionOf = [this] {
    return json::parse(
               site.http
                   .get(site.machines[0]->forwards, "/plantainhatch/v1/status")
                   .body)
        .at("version")
        .get<std::uint64_t>();
  };
  const std::uint64_t before = versionOf();
  CHECK_EQUAL(200, forward(before, "in-force").status);
  site.writeConfiguration(2);
  CHECK(Fleet::waitUntil([&] { return versionOf() > before; }));
  pause(seconds(1));
  const HttpAnswer answer = forward(before, "too-old");
  CHECK_EQUAL(503, answer.status);
  STRCMP_EQUAL("outdated", answer.header(headers::Reason).c_str());
  CHECK_EQUAL(0, site.runsOf("too-old"));
  CHECK_EQUAL(200, forward(versionOf(), "newest").status);
}
