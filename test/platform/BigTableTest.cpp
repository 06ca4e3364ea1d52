/** \file
 * What a change costs while the operators' table holds many routes. */
#include "operator/MainLoop.h"
#include "platform/SiteFixture.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <numeric>
#include <set>
#include <sstream>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;

namespace {

/** The routes that operators added at once on the reported day. */
constexpr unsigned ManyRoutes = 1'400;

json makeRoute(unsigned n, unsigned timeoutMs) {
  return {{"host", "h.example"}, {"prefix", "/many-" + std::to_string(n) + "/"},
          {"kind", "safe"},      {"timeout_ms", timeoutMs},
          {"attempts", 2},       {"priority", 1},
          {"service", "shop"}};
}

/** A table with many routes, one of which has this timeout. */
std::string makeDocument(unsigned timeoutMs, unsigned count = ManyRoutes) {
  json routes = json::object();
  for (unsigned n = 0; n < count; ++n)
    routes["r-" + std::to_string(n)] = makeRoute(n, 1'000);
  routes["r-700"] = makeRoute(700, timeoutMs);
  return json{{"version", timeoutMs},
              {"routes", routes},
              {"services", {{"shop", {{"health_check_path", "/health"}}}}}}
      .dump();
}

/** Sum of a metric over its labels. */
std::uint64_t sumOf(const std::string &metrics, const std::string &name) {
  std::istringstream text(metrics);
  std::uint64_t sum = 0;
  for (std::string line; std::getline(text, line);)
    if (line.starts_with("plantainhatch_" + name))
      sum += static_cast<std::uint64_t>(
          std::stod(line.substr(line.rfind(' ') + 1)));
  return sum;
}

} // namespace

TEST_GROUP(BigTable) {
  SiteFixture site{{"zone-0", "zone-0", "zone-0", "zone-1", "zone-1", "zone-1",
                    "zone-2", "zone-2", "zone-2", "zone-3", "zone-3",
                    "zone-3"}};

  /** The digest that all nodes have in common; empty if there is none. */
  std::string commonDigest() {
    std::set<std::string> digests;
    for (const auto &it : site.machines)
      digests.insert(
          json::parse(
              site.http.get(it->forwards, "/plantainhatch/v1/status?members=0")
                  .body)
              .at("digest"));
    return digests.size() == 1 ? *digests.begin() : std::string();
  }

  bool apply(unsigned timeoutMs, unsigned count = ManyRoutes) {
    const std::string before = commonDigest();
    site.writeRow("config", makeDocument(timeoutMs, count));
    return Fleet::waitUntil([&] {
      const std::string now = commonDigest();
      return !now.empty() && now != before;
    });
  }

  /** Bytes that all nodes have exchanged with the store and one another. */
  std::uint64_t bytesMoved() {
    return std::accumulate(
        site.machines.begin(), site.machines.end(), std::uint64_t{0},
        [this](std::uint64_t sum, const auto &it) {
          const std::string text =
              site.http.get(it->metrics, "/plantainhatch/v1/metrics").body;
          return sum + sumOf(text, "platform_bytes") +
                 sumOf(text, "control_bytes_total");
        });
  }
};

// Guards against a change of one route for which each node takes in the whole
// table, from the store and from several other nodes.
TEST(BigTable, ChangeOfOneRouteIsNotMovedAsAWholeTableToEachNode) {
  CHECK(site.start());
  CHECK(apply(2'000));
  pause(std::chrono::seconds(1));
  const std::uint64_t before = bytesMoved();
  CHECK(apply(3'000));
  pause(std::chrono::seconds(1));
  const std::uint64_t tables =
      (bytesMoved() - before) / makeDocument(3'000).size();
  CHECK(tables < site.machines.size());
}

// Guards against an addition of routes for which each node takes in the whole
// table, also the routes that were there before.
TEST(BigTable, AdditionOfRoutesIsNotMovedAsAWholeTableToEachNode) {
  CHECK(site.start());
  CHECK(apply(2'000));
  pause(std::chrono::seconds(1));
  const std::uint64_t before = bytesMoved();
  CHECK(apply(2'000, 2 * ManyRoutes));
  pause(std::chrono::seconds(1));
  const std::uint64_t tables =
      (bytesMoved() - before) / makeDocument(2'000, 2 * ManyRoutes).size();
  CHECK(tables < site.machines.size());
}
