/** \file
 * The whole path at a site of the platform, with real nodes on loopback. */
#include "operator/MainLoop.h"
#include "platform/SiteFixture.h"
#include "support/ProcessUsage.h"
#include "support/ScriptedServer.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <array>
#include <atomic>
#include <csignal>
#include <fstream>

using namespace plantainhatch;
using namespace plantainhatch::test;
using Manner = SiteTarget::Manner;
using std::chrono::milliseconds;

TEST_GROUP(SitePath) {
  SiteFixture site{{"zone-0", "zone-0", "zone-1"}};

  void setAll(Manner manner) {
    for (const auto &it : site.machines)
      it->target->setManner(manner);
  }
};

TEST(SitePath, CallsAreServedFromEachMachineWithWhatTargetsExpect) {
  CHECK(site.start());
  for (std::size_t n = 0; n < site.machines.size(); ++n) {
    const std::string id = "served-" + std::to_string(n);
    const auto answer = site.call(n, "GET", "/read/x?q=1", id);
    CHECK_EQUAL(200, answer.status);
    STRCMP_EQUAL(("whole " + id).c_str(), answer.body.c_str());
    CHECK_EQUAL(1, site.runsOf(id));
  }
  const auto at = std::ranges::find_if(
      site.machines, [](const auto &it) { return it->target->runCount() > 0; });
  const HeaderList &seen = (*at)->target->lastHeaders();
  STRCMP_EQUAL("shop",
               findHeader(seen, "X-Plantainhatch-Caller-Service")->c_str());
  STRCMP_EQUAL((*at)->target->name().c_str(),
               findHeader(seen, "X-Plantainhatch-Expected-Instance")->c_str());
  CHECK(std::stoi(*findHeader(seen, "X-Plantainhatch-Deadline-Milliseconds")) <=
        2000);
}

TEST_GROUP(SiteStore) {
  SiteFixture site{{"zone-0"}, SiteLinks::Faulty};
  FaultyLink &link = *site.machines[0]->storeLink;
};

TEST(SiteStore, QuestionThatIsLostWithoutASignDoesNotHideTheNextVersion) {
  CHECK(site.start());
  const std::uint64_t before = link.acceptedCount();
  link.resetOpen();
  CHECK(Fleet::waitUntil([&] { return link.acceptedCount() > before; }));
  // What the node has asked by now is never answered, nor its connection cut.
  pause(milliseconds(20));
  link.silenceOpen();
  site.writeConfiguration(2);
  CHECK(Fleet::waitUntil(
      [&] { return site.call(0, "GET", "/v2/x", "newest").status == 200; }));
}

// Guards against nodes that end, or find none of the others, as another writer
// left odd entries among theirs.
TEST(SitePath, OddEntriesOfAnotherWriterHideNoNode) {
  const std::string nested =
      std::string(60'000, '[') + std::string(60'000, ']');
  const std::string odd[] = {"127.0.0.1:65536",
                             "127.0.0.1:99999999999999999999",
                             "1e400",
                             "",
                             std::string("\xff\x00\xfe", 3),
                             nested};
  const auto isStoreUp = [&] { return site.setStore({{"mode", "up"}}) == 200; };
  CHECK(Fleet::waitUntil(isStoreUp));
  for (std::size_t n = 0; n < std::size(odd); ++n)
    site.writeRowOf("site-seeds", "odd/" + std::to_string(n), odd[n]);
  site.writeRowOf("site-seeds", "zone-0/0", "127.0.0.1:99999");
  site.writeRow("odd/" + nested.substr(0, 100), nested);
  CHECK(site.start());
  CHECK_EQUAL(400, site.http
                       .send(site.machines[0]->targets, "PUT", "/instances/odd",
                             {}, nested)
                       .status);
  for (std::size_t n = 0; n < site.machines.size(); ++n) {
    CHECK(site.machines[n]->node->isRunning());
    CHECK_EQUAL(200, site.call(n, "GET", "/read/x", "odd").status);
  }
}

TEST(SitePath, NodeWithoutAConfigurationPromisesThatNothingRan) {
  site.startNode(0);
  CHECK(Fleet::waitUntil([&] {
    return site.http.get(site.machines[0]->readiness, "/readiness").status ==
           503;
  }));
  const auto answer = site.call(0, "GET", "/read/x", "early");
  CHECK_EQUAL(503, answer.status);
  CHECK_FALSE(answer.header("Retry-After").empty());
}

TEST(SitePath, RouteThatNoConfigurationNamesIsNotFound) {
  CHECK(site.start());
  CHECK_EQUAL(404, site.call(0, "GET", "/other/x", "lost").status);
  CHECK_EQUAL(400, site.call(0, "GET", "/read/x", "").status);
}

TEST(SitePath, WrongAnswersToSafeCallsAreTriedElsewhere) {
  CHECK(site.start());
  for (const Manner manner : {Manner::Foreign, Manner::Unsigned,
                              Manner::BreakOff, Manner::Fail, Manner::Shed}) {
    setAll(Manner::Answer);
    // Two of three give wrong answers, so that most calls meet one of them.
    site.machines[0]->target->setManner(manner);
    site.machines[1]->target->setManner(manner);
    for (unsigned n = 0; n < 6; ++n) {
      const std::string id = "safe-" +
                             std::to_string(static_cast<int>(manner)) + "-" +
                             std::to_string(n);
      const auto answer = site.call(2, "GET", "/read/x", id);
      if (answer.status == 200)
        STRCMP_EQUAL(("whole " + id).c_str(), answer.body.c_str());
      CHECK(site.runsOf(id) <= 2);
    }
  }
}

// Guards against connections and memory that are taken up without end by health
// checks and calls whose answers do not end.
TEST(SitePath, TargetWhoseAnswersDoNotEndTakesUpLittle) {
  CHECK(site.start());
  SiteMachine &machine = *site.machines[0];
  machine.target->crash();
  const ScriptedServer endless(
      machine.targetAddress,
      "HTTP/1.1 200 OK\r\nX-Plantainhatch-Instance-Id: i-0\r\n\r\n",
      std::string(16UL * 1024, 'x'));
  CHECK_EQUAL(200, site.beat(0, "ready"));
  for (int n = 0; n < 30; ++n) {
    const TimePoint askedAt = std::chrono::steady_clock::now();
    CHECK(site.isReady(0));
    CHECK(std::chrono::steady_clock::now() - askedAt < milliseconds(500));
    const auto answer =
        site.call(0, "GET", "/read/x", "endless-" + std::to_string(n));
    CHECK_EQUAL(200, answer.status);
    pause(milliseconds(50));
  }
  constexpr unsigned MaxOpen = 8;
  CHECK(endless.acceptedConnections() > MaxOpen);
  CHECK(endless.openConnections() <= MaxOpen);
  constexpr std::uint64_t MaxResidentKib = 32UL * 1024;
  CHECK(ProcessUsage(machine.node->id()).peakResidentKib() < MaxResidentKib);
}

// Guards against a success with an empty or short body that looks whole, made
// of an answer whose head broke off.
TEST(SitePath, AnswerCutInItsHeadIsNeverASuccess) {
  CHECK(site.start());
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Plantainhatch-Request-Attempt-Id: cut\r\n"
      "X-Plantainhatch-Server-Signature: i-0\r\nContent-Type: text/plain\r\n"
      "Content-Length: 9\r\nConnection: close\r\n\r\n";
  std::atomic<std::size_t> length = 0;
  std::atomic<unsigned> cuts = 0;
  for (const auto &it : site.machines)
    it->target->crash();
  std::vector<std::unique_ptr<ScriptedServer>> cutters;
  for (std::size_t n = 0; n < site.machines.size(); ++n) {
    const std::string health =
        "HTTP/1.1 200 OK\r\nX-Plantainhatch-Instance-Id: i-" +
        std::to_string(n) +
        "\r\nX-Plantainhatch-Server-Load: 0,0,9,100\r\n"
        "Content-Length: 0\r\n\r\n";
    cutters.push_back(std::make_unique<ScriptedServer>(
        site.machines[n]->targetAddress,
        [&length, &cuts, &head, health](ScriptedServer::Connection &it) {
          while (const auto request = it.readRequest()) {
            const bool isHealthCheck = request->starts_with("GET /health");
            it.write(isHealthCheck ? health : head.substr(0, length));
            if (isHealthCheck)
              continue;
            ++cuts;
            return;
          }
        }));
  }
  // Around the end of each line; HttpMessageFaults has all lengths.
  std::vector<std::size_t> lengths;
  for (std::size_t n = 1; n < head.size(); ++n)
    if (head[n - 1] == '\n' || head[n] == '\r' || head[n] == '\n')
      lengths.push_back(n);
  for (const std::size_t it : lengths) {
    length = it;
    for (std::size_t n = 0; n < site.machines.size(); ++n)
      CHECK_EQUAL(200, site.beat(n, "ready"));
    // A path of its own, so that no request is taken for one that crashes
    // targets.
    const auto answer =
        site.call(0, "POST", "/write/" + std::to_string(length), "cut");
    CHECK_TEXT(answer.status >= 500, head.substr(0, length).c_str());
  }
  CHECK(cuts > lengths.size() / 2);
}

TEST(SitePath, UnsafeCallsRunOnceWhateverComesBack) {
  CHECK(site.start());
  for (const Manner manner :
       {Manner::Foreign, Manner::Unsigned, Manner::BreakOff, Manner::Fail}) {
    setAll(manner);
    const std::string id = "unsafe-" + std::to_string(static_cast<int>(manner));
    const auto answer = site.call(0, "POST", "/write/x", id);
    CHECK_EQUAL(1, site.runsOf(id));
    CHECK_EQUAL(manner == Manner::Fail ? 500 : 502, answer.status);
  }
}

TEST(SitePath, UnsafeCallThatAllTargetsShedIsRefusedWithAPromise) {
  CHECK(site.start());
  setAll(Manner::Shed);
  const auto answer = site.call(0, "POST", "/write/x", "shed");
  CHECK_EQUAL(503, answer.status);
  CHECK_FALSE(answer.header("Retry-After").empty());
  CHECK_EQUAL(0, site.runsOf("shed"));
}

TEST(SitePath, LeavingTargetGetsNothingFromTheAcknowledgementOn) {
  CHECK(site.start());
  CHECK_EQUAL(200, site.beat(0, "draining"));
  const unsigned before = site.machines[0]->target->runCount();
  for (unsigned n = 0; n < 12; ++n)
    CHECK_EQUAL(200, site.call(n % 3, "GET", "/read/x",
                               "after-leave-" + std::to_string(n))
                         .status);
  CHECK_EQUAL(before, site.machines[0]->target->runCount());
  // A heartbeat that was held up does not bring it back.
  CHECK_EQUAL(200, site.beat(0, "ready"));
  CHECK_EQUAL(200, site.call(0, "GET", "/read/x", "late-beat").status);
  CHECK_EQUAL(before, site.machines[0]->target->runCount());
}

TEST(SitePath, EvacuatedDomainGetsNothingUntilItIsTakenBack) {
  CHECK(site.start());
  site.writeRow("evacuate/zone-0", "{}");
  const auto domainsOut = [&](std::size_t n) {
    return nlohmann::json::parse(
               site.http
                   .get(site.machines[n]->forwards, "/plantainhatch/v1/status")
                   .body,
               nullptr, false)
        .value("version", 0);
  };
  const int first = domainsOut(2);
  CHECK(Fleet::waitUntil([&] {
    return domainsOut(0) >= first && domainsOut(1) >= first &&
           site.call(0, "GET", "/read/x", "wait").status == 200 &&
           site.machines[2]->target->runsOf("wait") > 0;
  }));
  CHECK(Fleet::waitUntil([&] {
    const unsigned before = site.machines[2]->target->runCount();
    for (unsigned n = 0; n < 6; ++n)
      site.call(n % 3, "GET", "/read/x", "out-" + std::to_string(n));
    return site.machines[2]->target->runCount() == before + 6;
  }));
  site.writeRow("evacuate/zone-0", std::nullopt);
  CHECK(Fleet::waitUntil([&] {
    site.call(0, "GET", "/read/x", "back");
    return site.machines[0]->target->runsOf("back") +
               site.machines[1]->target->runsOf("back") >
           0;
  }));
}

TEST(SitePath, StoppingNodeFinishesWhatItHasAndWelcomesNobody) {
  CHECK(site.start());
  setAll(Manner::Hold);
  const auto answer = site.callLater(0, "GET", "/read/x", "in-progress",
                                     std::chrono::seconds(5));
  CHECK(Fleet::waitUntil([&] { return site.runsOf("in-progress") == 1; }));
  site.machines[0]->node->signal(SIGTERM);
  CHECK(Fleet::waitUntil([&] { return !site.isReady(0); }));
  for (const auto &it : site.machines)
    it->target->release();
  CHECK(Fleet::waitUntil([&] { return answer->status != 0; }));
  CHECK_EQUAL(200, answer->status);
  CHECK_EQUAL(0, site.machines[0]->node->wait());
}

TEST(SitePath, CallThatComesLateToAStoppingNodeIsRefusedWithAPromise) {
  CHECK(site.start());
  setAll(Manner::Hold);
  const auto held =
      site.callLater(0, "GET", "/read/x", "held", std::chrono::seconds(5));
  CHECK(Fleet::waitUntil([&] { return site.runsOf("held") == 1; }));
  setAll(Manner::Answer);
  site.machines[0]->node->signal(SIGTERM);
  unsigned n = 0;
  std::string late;
  CHECK(Fleet::waitUntil([&] {
    late = "late-" + std::to_string(n++);
    return site.call(0, "GET", "/read/x", late).status == 503;
  }));
  CHECK_EQUAL(0, site.runsOf(late));
  for (const auto &it : site.machines)
    it->target->release();
  CHECK(Fleet::waitUntil([&] { return held->status != 0; }));
  CHECK_EQUAL(200, held->status);
}

// Guards against calls that a stopping node takes late in its grace and cuts
// without an answer at the end of it.
TEST(SitePath, NoCallIsCutByAPlannedStop) {
  CHECK(site.start());
  for (const auto &it : site.machines)
    it->target->setServiceTime(milliseconds(1'500));
  std::vector<SiteFixture::PendingCall> calls;
  site.machines[0]->node->signal(SIGTERM);
  for (unsigned n = 0; site.machines[0]->node->isRunning(); ++n) {
    CallRequest request;
    request.method = n % 2 == 0 ? "POST" : "GET";
    request.target = n % 2 == 0 ? "/write/x" : "/read/x";
    request.headers = {
        {"Host", "h.example"},
        {"X-Plantainhatch-Request-Attempt-Id", "stop-" + std::to_string(n)},
        {"X-Plantainhatch-Deadline-Milliseconds", "4000"}};
    calls.push_back(site.send(0, request, n % 4 < 2));
    pause(milliseconds(50));
  }
  CHECK_EQUAL(0, site.machines[0]->node->wait());
  std::size_t answered = 0;
  for (std::size_t n = 0; n < calls.size(); ++n) {
    const unsigned status = calls[n].answer->status;
    const unsigned runs = site.runsOf("stop-" + std::to_string(n));
    const std::string text =
        "call " + std::to_string(n) + " of " + std::to_string(calls.size());
    CHECK_TEXT(status == 200 || runs == 0, text.c_str());
    answered += status == 200 ? 1 : 0;
  }
  CHECK(answered > 0);
}

TEST(SitePath, CallerThatLeavesIsNotServedAnyMore) {
  CHECK(site.start());
  setAll(Manner::Hold);
  CallRequest request;
  request.method = "GET";
  request.target = "/read/x";
  request.headers = {{"Host", "h.example"},
                     {"X-Plantainhatch-Request-Attempt-Id", "left"},
                     {"X-Plantainhatch-Deadline-Milliseconds", "1500"}};
  HttpSession session;
  const auto exchange =
      Exchange::start(&session, request, {site.machines[0]->callers, {}, true},
                      [](const Exchange::Result & /*result*/) {});
  CHECK(Fleet::waitUntil([&] { return site.runsOf("left") == 1; }));
  exchange->cancel();
  CHECK(Fleet::waitUntil([&] {
    const auto text =
        site.http.get(site.machines[0]->metrics, "/plantainhatch/v1/metrics");
    return text.body.find("calls_abandoned_total 1") != std::string::npos;
  }));
  pause(milliseconds(100));
  CHECK_EQUAL(1, site.runsOf("left"));
}

// Guards against a request that is handed over although its caller has left, as
// the node read the request and the end of its connection at the same time.
TEST(SitePath, RequestThatWasGivenUpBeforeItWasReadIsNotRun) {
  CHECK(site.start());
  const auto handedOver = [&] {
    const std::string text =
        site.http.get(site.machines[0]->metrics, "/plantainhatch/v1/metrics")
            .body;
    const std::string name = "plantainhatch_gate_handed_over_total ";
    const auto at = text.find("\n" + name);
    return at == std::string::npos
               ? 0
               : std::stoi(text.substr(at + 1 + name.size()));
  };
  for (std::size_t n = 1; n < site.machines.size(); ++n)
    site.machines[n]->node->kill();
  CHECK_EQUAL(200, site.call(0, "GET", "/read/x", "before").status);
  const int before = handedOver();
  for (unsigned n = 0; n < 20; ++n) {
    auto socket = StreamSocket::connect(site.machines[0]->callers);
    CHECK(socket.has_value());
    pause(milliseconds(20));
    site.machines[0]->node->suspend();
    CHECK(socket->write("GET /read/x HTTP/1.1\r\nHost: h.example\r\n"
                        "X-Plantainhatch-Request-Attempt-Id: left-" +
                        std::to_string(n) +
                        "\r\nX-Plantainhatch-Deadline-Milliseconds: 2000\r\n"
                        "\r\n"));
    socket->close();
    pause(milliseconds(20));
    site.machines[0]->node->signal(SIGCONT);
  }
  CHECK_EQUAL(200, site.call(0, "GET", "/read/x", "after").status);
  CHECK_EQUAL(before + 1, handedOver());
}

// Guards against a call that is sent to a second target after its caller has
// left, as the node learned of both at the same time and of the failure first.
TEST(SitePath, CallWhoseCallerHasLeftIsNotRepeatedAfterAFailure) {
  CHECK(site.start());
  for (unsigned n = 0; n < 20; ++n) {
    const std::string id = "repeat-" + std::to_string(n);
    setAll(Manner::Hold);
    CallRequest request;
    request.method = "GET";
    request.target = "/read/x";
    request.headers = {{"Host", "h.example"},
                       {"X-Plantainhatch-Request-Attempt-Id", id},
                       {"X-Plantainhatch-Deadline-Milliseconds", "2000"}};
    const auto call = site.send(0, request, false);
    CHECK(Fleet::waitUntil([&] { return site.runsOf(id) == 1; }));
    site.machines[0]->node->suspend();
    for (const auto &it : site.machines)
      it->target->fail();
    pause(milliseconds(20));
    call.giveUp();
    pause(milliseconds(20));
    site.machines[0]->node->signal(SIGCONT);
    pause(milliseconds(100));
    CHECK_EQUAL(1, site.runsOf(id));
  }
}

TEST(SitePath, PipelinedRequestsAreAnsweredInTheirOrder) {
  CHECK(site.start());
  const auto one = [](const char *id, const char *connection) {
    return std::string("GET /read/x HTTP/1.1\r\nHost: h.example\r\n"
                       "X-Plantainhatch-Request-Attempt-Id: ") +
           id +
           "\r\nX-Plantainhatch-Deadline-Milliseconds: 2000\r\nConnection: " +
           connection + "\r\n\r\n";
  };
  const auto answer = std::make_shared<std::string>();
  auto socket = StreamSocket::connect(site.machines[0]->callers);
  CHECK(socket.has_value());
  pause(milliseconds(20));
  CHECK(socket->write(one("p1", "keep-alive") + one("p2", "keep-alive") +
                      one("p3", "close")));
  CHECK(Fleet::waitUntil([&] {
    return socket->read(*answer, 65'536) == StreamSocket::ReadResult::End;
  }));
  const auto first = answer->find("whole p1");
  const auto second = answer->find("whole p2");
  const auto third = answer->find("whole p3");
  CHECK(first < second);
  CHECK(second < third);
  CHECK(third != std::string::npos);
}

TEST(SitePath, SettingsThatChangeAreCheckedAndTheNodeGoesOn) {
  CHECK(site.start());
  site.machines[0]->node->signal(SIGHUP);
  CHECK_EQUAL(200, site.call(0, "GET", "/read/x", "after-hup").status);
}

// Guards against a target that gets fewer calls for ever, as answers that once
// stalled there still count as outstanding.
TEST(SitePath, AnswersThatStallAreNotOutstandingAfterwards) {
  CHECK(site.start());
  setAll(Manner::Stall);
  for (unsigned n = 0; n < 4; ++n)
    CHECK_EQUAL(504, site.call(0, "GET", "/read/x",
                               "stall-" + std::to_string(n), milliseconds(300))
                         .status);
  const auto answer =
      site.http.get(site.machines[0]->metrics, "/plantainhatch/v1/metrics");
  CHECK(answer.body.find("\nplantainhatch_calls_outstanding 0\n") !=
        std::string::npos);
}

// Guards against a line that blames the load of one target for the failure of a
// call at another.
TEST(SitePath, LineOfAFailedAttemptHasTheLoadOfItsOwnTarget) {
  CHECK(site.start());
  // Hedging begins when the usual latency is known.
  for (unsigned n = 0; n < 40; ++n)
    CHECK_EQUAL(
        200,
        site.call(0, "GET", "/read/x", "usual-" + std::to_string(n)).status);
  site.machines[1]->target->setSlowdown(300);
  site.machines[2]->target->setSlowdown(300);
  setAll(Manner::Hold);
  pause(milliseconds(300));
  const auto pending = site.callLater(0, "GET", "/read/x", "hedged");
  CHECK(Fleet::waitUntil([&] { return site.runsOf("hedged") == 2; }));
  CHECK_EQUAL(1, site.machines[0]->target->runsOf("hedged"));
  site.machines[0]->target->fail();
  const auto lineOf = [&](const std::string &text) -> nlohmann::json {
    std::ifstream log(site.machines[0]->logFile + ".out");
    std::string line;
    while (std::getline(log, line))
      if (line.find(text) != std::string::npos)
        return nlohmann::json::parse(line, nullptr, false);
    return {};
  };
  nlohmann::json line;
  CHECK(Fleet::waitUntil([&] {
    line = lineOf("failure-500");
    return line.is_object();
  }));
  STRCMP_EQUAL("hedged", line.value("request", "").c_str());
  CHECK_EQUAL(1.0, line.value("slowdown", 0.0));
}

// Guards against a failure domain that does not learn of an abrupt change of
// load in another one.
TEST(SitePath, ChangeOfLoadReachesAllNodesOfOtherDomains) {
  SiteFixture domains{{"zone-0", "zone-1", "zone-1", "zone-2"}};
  CHECK(domains.start());
  const auto relayedTo = [&](std::size_t n) {
    const auto answer = domains.http.get(domains.machines[n]->metrics,
                                         "/plantainhatch/v1/metrics");
    const std::string name = "\nplantainhatch_relayed_loads_total ";
    const auto at = answer.body.find(name);
    return at == std::string::npos
               ? 0.0
               : std::stod(answer.body.substr(at + name.size()));
  };
  std::array<double, 4> before{};
  for (std::size_t n = 0; n < before.size(); ++n)
    before[n] = relayedTo(n);
  domains.machines[0]->target->setSlowdown(700);
  CHECK(Fleet::waitUntil(
      [&] {
        return relayedTo(1) > before[1] && relayedTo(2) > before[2] &&
               relayedTo(3) > before[3];
      },
      std::chrono::seconds(2)));
}
