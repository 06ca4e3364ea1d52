/** \file
 * Calls of teams, at real nodes on loopback. */
#include "base/Digest.h"
#include "base/Settings.h"
#include "node/QuotaTask.h"
#include "operator/MainLoop.h"
#include "platform/SiteFixture.h"

#include <nlohmann/json.hpp>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char *TeamHeader = "X-Plantainhatch-Tenant";
constexpr seconds ApplyLimit{2};

/** The quota of a team, and by how much calls may pass it in a window. */
constexpr double CallsPerSecond = 20;
constexpr double Burst = 20;
constexpr double Overage = 0.1;
constexpr double Slack = 20;
constexpr seconds QuotaWindow{5};

json teamWith(const std::vector<std::string> &keys) {
  return {{"api_keys", keys}, {"priority", 0}};
}

} // namespace

TEST_GROUP(TeamCalls) {
  SiteFixture site{{"zone-0", "zone-1"}, SiteLinks::Faulty};

  void writeTeams(const json &teams) {
    const json route{{"host", "h.example"}, {"kind", "safe"},
                     {"timeout_ms", 4000},  {"attempts", 2},
                     {"priority", 1},       {"service", "shop"}};
    json document{{"version", 2},
                  {"services", {{"shop", {{"health_check_path", "/health"}}}}},
                  {"limits", json::object()},
                  {"tenants", teams}};
    document["routes"]["kept"] = route;
    document["routes"]["kept"]["prefix"] = "/kept/";
    document["routes"]["open"] = route;
    document["routes"]["open"]["prefix"] = "/open/";
    document["routes"]["open"]["public"] = true;
    site.writeRow("config", document.dump());
  }

  HttpAnswer call(std::size_t n, const std::string &path, const std::string &id,
                  const std::string &key) {
    CallRequest request;
    request.method = "GET";
    request.target = path;
    request.headers = {{"Host", "h.example"},
                       {"X-Plantainhatch-Request-Attempt-Id", id},
                       {"X-Plantainhatch-Deadline-Milliseconds", "2000"},
                       {TeamHeader, "forged"}};
    if (!key.empty())
      request.headers.emplace_back("Authorization", "Bearer " + key);
    const auto answer = site.send(n, request, false).answer;
    Fleet::waitUntil([&] { return answer->status != 0; });
    return *answer;
  }

  bool isInForce(const std::string &key, unsigned status) {
    return Fleet::waitUntil(
        [&] {
          return call(0, "/kept/x", "try", key).status == status &&
                 call(1, "/kept/x", "try", key).status == status;
        },
        ApplyLimit);
  }

  /** The headers of the call that a target got last. */
  std::string seen(std::size_t n, const std::string &name) const {
    return findHeader(site.machines[n]->target->lastHeaders(), name)
        .value_or("none");
  }

  std::string logOf(std::size_t n) const {
    return readFile(site.machines[n]->logFile).value();
  }
};

// Guards against a call that runs for a team whose key it does not have, here
// or over the hop to another node, and a target that learns a key.
TEST(TeamCalls, TargetLearnsTheTeamAndNotTheKey) {
  CHECK(site.start());
  writeTeams({{"red", teamWith({"secret-red"})}});
  CHECK(isInForce("secret-red", 200));
  for (unsigned n = 0; n < 20; ++n) {
    const std::string id = "red-" + std::to_string(n);
    CHECK_EQUAL(200, call(n % 2, "/kept/x", id, "secret-red").status);
    CHECK_EQUAL(1, site.runsOf(id));
    const std::size_t at = site.machines[0]->target->runsOf(id) == 1 ? 0 : 1;
    STRCMP_EQUAL("red", seen(at, TeamHeader).c_str());
    STRCMP_EQUAL("none", seen(at, "Authorization").c_str());
  }
  CHECK_EQUAL(401, call(0, "/kept/x", "wrong", "secret-blue").status);
  CHECK_EQUAL(401, call(0, "/kept/x", "missing", "").status);
  CHECK_EQUAL(200, call(0, "/open/x", "open", "secret-blue").status);
  const std::size_t at = site.machines[0]->target->runsOf("open") == 1 ? 0 : 1;
  STRCMP_EQUAL("none", seen(at, TeamHeader).c_str());
  STRCMP_EQUAL("none", seen(at, "Authorization").c_str());
  CHECK_EQUAL(0, site.runsOf("wrong") + site.runsOf("missing"));
  for (std::size_t n = 0; n < 2; ++n) {
    CHECK(logOf(n).find("secret") == std::string::npos);
    for (const char *const path : {"status?members=1", "events", "metrics"})
      CHECK(site.http
                .get(site.machines[n]->forwards,
                     std::string("/plantainhatch/v1/") + path)
                .body.find("secret") == std::string::npos);
  }
}

TEST(TeamCalls, KeysComeAndGoWithVersions) {
  CHECK(site.start());
  writeTeams({{"red", teamWith({"one"})}});
  CHECK(isInForce("one", 200));
  writeTeams({{"red", teamWith({"two"})}});
  CHECK(isInForce("two", 200));
  CHECK(isInForce("one", 401));
}

// Guards against a node that serves by keys of which it cannot show that they
// were not taken away, and one that does not come back by itself.
TEST(TeamCalls, NodesThatHearNothingNewRefuseKeysUntilTheyDo) {
  for (std::size_t n = 0; n < 2; ++n) {
    json settings = json::parse(site.makeSettingsFile(n, "shop"));
    settings["keyRevocationMs"] = 1'500;
    site.writeSettingsFile(n, settings.dump());
  }
  CHECK(site.start());
  writeTeams({{"red", teamWith({"one"})}});
  CHECK(isInForce("one", 200));
  // One node that is turned away lives on the word of the other.
  site.machines[0]->storeLink->setMode(FaultyLink::Mode::HoldBoth);
  for (unsigned n = 0; n < 12; ++n) {
    CHECK_EQUAL(200,
                call(0, "/kept/x", "cut-" + std::to_string(n), "one").status);
    pause(milliseconds(250));
  }
  site.machines[1]->storeLink->setMode(FaultyLink::Mode::HoldBoth);
  pause(milliseconds(1'600));
  for (std::size_t n = 0; n < 2; ++n) {
    const std::string id = "unproved-" + std::to_string(n);
    const HttpAnswer answer = call(n, "/kept/x", id, "one");
    CHECK_EQUAL(503, answer.status);
    CHECK_FALSE(answer.header("Retry-After").empty());
    CHECK_EQUAL(0, site.runsOf(id));
    CHECK_EQUAL(200, call(n, "/open/x", "open-" + id, "").status);
  }
  for (std::size_t n = 0; n < 2; ++n)
    site.machines[n]->storeLink->setMode(FaultyLink::Mode::Pass);
  CHECK(isInForce("one", 200));
}

namespace {

/** The node that is to keep the quota of \p team, by the rule of QuotaTask. */
std::size_t keeperOf(const std::string &team, const SiteFixture &site) {
  const std::string task =
      "quota/" + std::to_string(stableHash(team) % QuotaTask::Groups) + "/";
  const auto weightOf = [&](const auto &it) {
    return stableHash(task + it->peers.toString());
  };
  return static_cast<std::size_t>(
      std::ranges::max_element(site.machines, {}, weightOf) -
      site.machines.begin());
}

} // namespace

TEST_GROUP(TeamQuotas) {
  SiteFixture site{{"zone-0", "zone-1", "zone-2"}};
  std::vector<std::shared_ptr<HttpAnswer>> answers;
  std::vector<TimePoint> sentAt;

  void startWithQuota() {
    for (std::size_t n = 0; n < site.machines.size(); ++n) {
      json settings = json::parse(site.makeSettingsFile(n, "shop"));
      settings["quota"] = {{"overage", Overage}, {"slack", Slack}};
      site.writeSettingsFile(n, settings.dump());
    }
    CHECK(site.start());
    const json route{{"host", "h.example"}, {"prefix", "/kept/"},
                     {"kind", "safe"},      {"timeout_ms", 2000},
                     {"attempts", 2},       {"priority", 1},
                     {"service", "shop"}};
    const json team{{"api_keys", {"one"}},
                    {"priority", 0},
                    {"rate_per_s", CallsPerSecond},
                    {"burst", Burst}};
    const json document{
        {"version", 2},
        {"services", {{"shop", {{"health_check_path", "/health"}}}}},
        {"limits", json::object()},
        {"routes", {{"kept", route}}},
        {"tenants", {{"red", team}}}};
    site.writeRow("config", document.dump());
    CHECK(Fleet::waitUntil([&] {
      // Fewer than the quota allows.
      pause(milliseconds(300));
      for (std::size_t n = 0; n < site.machines.size(); ++n)
        if (waitFor(send(n)) != 200)
          return false;
      return true;
    }));
    // A keeper begins without tokens.
    pause(seconds(1));
  }

  std::shared_ptr<HttpAnswer> send(std::size_t n) {
    CallRequest request;
    request.method = "GET";
    request.target = "/kept/x";
    request.headers = {{"Host", "h.example"},
                       {"X-Plantainhatch-Request-Attempt-Id",
                        "call-" + std::to_string(answers.size())},
                       {"X-Plantainhatch-Deadline-Milliseconds", "2000"},
                       {"Authorization", "Bearer one"}};
    answers.push_back(site.send(n, request, true).answer);
    sentAt.push_back(std::chrono::steady_clock::now());
    return answers.back();
  }
  static unsigned waitFor(const std::shared_ptr<HttpAnswer> &answer) {
    Fleet::waitUntil([&] { return answer->status != 0; });
    return answer->status;
  }

  /** Sends calls evenly over all nodes but \p left. \return the first. */
  std::size_t sendEvenly(double perSecond, std::chrono::duration<double> time,
                         std::size_t left = SIZE_MAX) {
    const std::size_t first = answers.size();
    const auto startedAt = std::chrono::steady_clock::now();
    const auto count = static_cast<unsigned>(perSecond * time.count());
    for (unsigned n = 0; n < count; ++n) {
      const std::size_t at = answers.size() % site.machines.size();
      send(at == left ? (at + 1) % site.machines.size() : at);
      const auto nextAt =
          startedAt + std::chrono::duration<double>((n + 1) / perSecond);
      pause(std::max(milliseconds(1),
                     std::chrono::ceil<milliseconds>(
                         nextAt - std::chrono::steady_clock::now())));
    }
    for (std::size_t n = first; n < answers.size(); ++n)
      waitFor(answers[n]);
    return first;
  }

  std::ptrdiff_t countSince(std::size_t first, unsigned status) const {
    return std::count_if(answers.begin() + static_cast<std::ptrdiff_t>(first),
                         answers.end(),
                         [&](const auto &it) { return it->status == status; });
  }

  void checkBound() const {
    std::vector<TimePoint> passed;
    for (std::size_t n = 0; n < answers.size(); ++n)
      if (answers[n]->status != 429 && answers[n]->status != 503)
        passed.push_back(sentAt[n]);
    const double seconds = std::chrono::duration<double>(QuotaWindow).count();
    for (auto first = passed.begin(); first != passed.end(); ++first) {
      const auto last = std::ranges::lower_bound(passed, *first + QuotaWindow);
      CHECK(static_cast<double>(last - first) <=
            (CallsPerSecond * seconds + Burst) * (1 + Overage) + Slack);
    }
  }
};

// Guards against a quota that holds without a network only, and calls that are
// refused while a keeper is replaced for longer than the promises last.
TEST(TeamQuotas, BoundHoldsAndNothingUnderItIsRefusedAlsoWithoutTheKeeper) {
  startWithQuota();
  std::size_t first = sendEvenly(CallsPerSecond * 0.9, seconds(4));
  CHECK_EQUAL(answers.size() - first, countSince(first, 200));

  first = sendEvenly(CallsPerSecond * 4, seconds(4));
  CHECK(countSince(first, 429) > 0);
  CHECK(static_cast<double>(countSince(first, 200)) >= CallsPerSecond * 4);
  for (const auto &it : answers)
    CHECK(it->status != 429 || !it->header("Retry-After").empty());

  const std::size_t keeper = keeperOf("red", site);
  site.machines[keeper]->node->kill();
  sendEvenly(CallsPerSecond * 4, seconds(4), keeper);
  // The killed node keeps its third of the quota.
  pause(seconds(1));
  first = sendEvenly(CallsPerSecond * 0.6, seconds(4), keeper);
  CHECK_EQUAL(answers.size() - first, countSince(first, 200));
  checkBound();
}
