/** \file
 * What the nodes of a site ask the store: each request is billed, and all nodes
 * share its rates. Real nodes on loopback. */
#include "node/FreshnessCheck.h"
#include "operator/MainLoop.h"
#include "platform/SiteFixture.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

unsigned callsAt(SiteFixture &site) {
  const json stats = json::parse(
      site.http.get(site.machines[0]->shownStore, "/standin/stats").body);
  return stats.at("reads").get<unsigned>() + stats.at("writes").get<unsigned>();
}

std::string metricsOf(SiteFixture &site, std::size_t n) {
  return site.http.get(site.machines[n]->metrics, "/plantainhatch/v1/metrics")
      .body;
}

/** Calls that one node has made. */
double callsOf(SiteFixture &site, std::size_t n) {
  const std::string metrics = metricsOf(site, n);
  const std::string name = "\nplantainhatch_platform_requests ";
  const auto at = metrics.find(name);
  return at == std::string::npos ? 0
                                 : std::stod(metrics.substr(at + name.size()));
}

/** One machine for each entry. */
std::vector<std::string> domains(std::size_t count, std::size_t machines) {
  std::vector<std::string> list;
  list.reserve(machines);
  for (std::size_t n = 0; n < machines; ++n)
    list.push_back("zone-" + std::to_string(n % count));
  return list;
}

} // namespace

TEST_GROUP(StoreCalls){};

// Guards against a fleet whose start asks the store for the same again and
// again, while the operators have not written a configuration yet.
TEST(StoreCalls, StartWithoutAConfigurationTakesFewCallsANode) {
  constexpr std::size_t Machines = 16;
  SiteFixture site{domains(2, Machines)};
  CHECK(Fleet::waitUntil([&] {
    return site.setStore({{"mode", "up"}}) == 200;
  }));
  const unsigned before = callsAt(site);
  for (std::size_t n = 0; n < Machines; ++n)
    site.startNode(n);
  pause(seconds(3));
  CHECK(callsAt(site) - before <= 5 * Machines);
  site.writeConfiguration(1);
  CHECK(Fleet::waitUntil(
      [&] {
        bool areReady = true;
        for (std::size_t n = 0; n < Machines; ++n)
          areReady = areReady && site.isReady(n);
        return areReady;
      },
      seconds(2)));
}

// Guards against a question to the store from each node that gets a call for a
// route that does not exist.
TEST(StoreCalls, NodesOfADomainShareTheirQuestionsForTheNewestVersion) {
  constexpr std::size_t Machines = 8;
  SiteFixture site{domains(1, Machines)};
  CHECK(site.start());
  pause(FreshnessCheck::MaxAge + milliseconds(100));
  const unsigned before = callsAt(site);
  std::vector<std::shared_ptr<HttpAnswer>> answers;
  answers.reserve(Machines);
  for (std::size_t n = 0; n < Machines; ++n)
    answers.push_back(
        site.callLater(n, "GET", "/none/x", "none-" + std::to_string(n)));
  CHECK(Fleet::waitUntil([&] {
    return std::ranges::all_of(answers,
                               [](const auto &it) { return it->status != 0; });
  }));
  for (const auto &it : answers)
    CHECK_EQUAL(404, it->status);
  CHECK(callsAt(site) - before <= Machines / 2);
}

// Guards against a node that reads from the store what its peers can tell.
TEST(StoreCalls, NodeThatStartsAgainLearnsItsVersionFromAPeer) {
  SiteFixture site{domains(1, 4)};
  CHECK(site.start());
  site.machines[2]->node->kill();
  site.startNode(2);
  CHECK(Fleet::waitUntil([&] { return site.isReady(2); }));
  CHECK_TEXT(callsOf(site, 2) <= 2, metricsOf(site, 2).c_str());
  CHECK_EQUAL(404, site.call(2, "GET", "/none/x", "restarted").status);
}

// Guards against calls that wait, or are refused, as the node that asks the
// store for the others is silent and not known to be so.
TEST(StoreCalls, SilentNodeKeepsNoOtherFromKnowingTheNewestVersion) {
  SiteFixture site{domains(1, 2)};
  CHECK(site.start());
  for (const std::size_t silent : {std::size_t{0}, std::size_t{1}}) {
    pause(FreshnessCheck::MaxAge + milliseconds(100));
    site.machines[silent]->node->suspend();
    const TimePoint askedAt = std::chrono::steady_clock::now();
    const auto answer = site.call(1 - silent, "GET", "/none/x",
                                  "beside-" + std::to_string(silent));
    CHECK_EQUAL(404, answer.status);
    CHECK(std::chrono::steady_clock::now() - askedAt <
          FreshnessCheck::TimeLimit);
    site.machines[silent]->node->signal(SIGCONT);
  }
}
