/** \file
 * The time line: where it starts, and what it tells while it is followed. */
#include "support/FaultFixture.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <sstream>
#include <thread>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;

namespace {

std::vector<json> eventsIn(const CommandOutput &output) {
  std::istringstream lines(output.out);
  std::string line;
  std::vector<json> events;
  while (std::getline(lines, line))
    events.push_back(json::parse(line));
  return events;
}

std::uint64_t timeOf(const json &event) {
  return std::stoull(event.at("time").get<std::string>());
}

} // namespace

TEST_GROUP(Timeline){};

TEST(Timeline, SinceTellsWhatCameLaterAndNothingElse) {
  Fleet fleet(makePlan(2, 1));
  CHECK(fleet.start());
  const auto all = eventsIn(fleet.command({"timeline", "--json"}));
  CHECK(all.size() > 4);
  CHECK(std::ranges::is_sorted(all, {}, timeOf));
  const json &middle = all[all.size() / 2];
  const auto later = eventsIn(
      fleet.command({"timeline", "--json", "--since", middle.at("time")}));
  CHECK(!later.empty());
  CHECK(std::ranges::all_of(later, [&](const json &event) {
    return timeOf(event) > timeOf(middle);
  }));
  for (const json &event : all)
    CHECK_EQUAL(timeOf(event) > timeOf(middle),
                std::ranges::find(later, event) != later.end());
}

TEST(Timeline, FollowingTellsEachEventOnceAlsoThoseOfANodeThatWasFrozen) {
  Fleet fleet(makePlan(2, 1));
  CHECK(fleet.start());
  const auto vm = fleet.vmOf("release", 1);
  // Recorded by the node, and not told to anyone before it is frozen.
  fleet.vms[vm]->targetProcess->kill();
  fleet.startTarget(vm);
  std::string bootId;
  CHECK(Fleet::waitUntil([&] {
    const json stats = fleet.targetStats(vm);
    if (stats.is_null())
      return false;
    bootId = stats.at("bootId");
    return fleet.status(vm).at("gate").at("bootId") == bootId;
  }));
  fleet.vms[vm]->node->signal(SIGSTOP);
  CommandOutput followed;
  std::jthread follower([&] {
    followed =
        fleet.command({"timeline", "--json", "--follow", "--timeout", "15"});
  });
  const auto moved =
      fleet.command({"domain", "out", "domain-9", "--who", "Night shift"});
  CHECK_EQUAL(0, moved.code);
  CHECK(Fleet::waitUntil(
      [&] { return fleet.status(0).value("version", 0) == 2; }));
  fleet.vms[vm]->node->signal(SIGCONT);
  CHECK(Fleet::waitUntil([&] {
    const json state = fleet.status(vm);
    return !state.is_null() && state.value("version", 0) == 2;
  }));
  const auto all = eventsIn(fleet.command({"timeline", "--json"}));
  follower.join();
  const auto events = eventsIn(followed);
  CHECK(std::ranges::any_of(all, [&](const json &event) {
    return event.at("kind") == "target-announced" &&
           event.dump().find(bootId) != std::string::npos;
  }));
  for (const json &event : all)
    CHECK_EQUAL_TEXT(1, std::ranges::count(events, event),
                     event.dump().c_str());
  for (const json &event : events)
    CHECK_EQUAL(1, std::ranges::count(events, event));
}
