/** \file
 * Who sends a change of load to whom in a fleet of several failure domains. */
#include "process/BroadcastPlan.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

using namespace plantainhatch;

namespace {

constexpr std::size_t Nodes = 195;
constexpr std::size_t Domains = 6;
const TimePoint Start = TimePoint(std::chrono::hours(1));

Member makeMember(std::size_t n, Liveness liveness = Liveness::Alive) {
  Member member;
  member.peersAddress = {"127.0.0.1", static_cast<std::uint16_t>(1000 + n)};
  member.failureDomain = "zone-" + std::to_string(n % Domains);
  member.liveness = liveness;
  return member;
}

/** The view of node \p self; node n has the liveness that \p livenessOf
 * returns. */
template <typename LivenessOf>
Membership makeView(std::size_t self, const LivenessOf &livenessOf) {
  Membership view(makeMember(self), self);
  std::vector<Member> others;
  for (std::size_t n = 0; n < Nodes; ++n)
    if (n != self)
      others.push_back(makeMember(n, livenessOf(n)));
  view.merge(others, false, Start);
  return view;
}

Liveness alwaysAlive(std::size_t /*n*/) { return Liveness::Alive; }

std::size_t indexOf(const Address &address) { return address.port - 1000U; }

} // namespace

TEST_GROUP(BroadcastPlan) { std::mt19937_64 random{7}; };

// Guards against traffic between failure domains that grows with the square of
// the fleet: a change crosses to each other domain once, and reaches all.
TEST(BroadcastPlan, ChangeOfLoadCrossesToEachOtherDomainOnceAndReachesAll) {
  const Membership view = makeView(0, alwaysAlive);
  const auto plan = BroadcastPlan::make(view, random);
  CHECK_EQUAL(Domains - 1, plan.relays.size());
  std::multiset<std::size_t> reached;
  for (const Address &it : plan.local) {
    CHECK_EQUAL(0, indexOf(it) % Domains);
    reached.insert(indexOf(it));
  }
  for (const Address &it : plan.relays) {
    reached.insert(indexOf(it));
    const Membership relay = makeView(indexOf(it), alwaysAlive);
    for (const Address &next : BroadcastPlan::make(relay, random).local)
      reached.insert(indexOf(next));
  }
  CHECK_EQUAL(Nodes - 1, reached.size());
  for (std::size_t n = 1; n < Nodes; ++n)
    CHECK_EQUAL(1, reached.count(n));
}

// Guards against a domain that learns nothing until its only relay is known to
// be dead.
TEST(BroadcastPlan, RelaysAreDrawnAnewForEachMessage) {
  constexpr unsigned Messages = 200;
  const Membership view = makeView(0, alwaysAlive);
  std::map<Address, unsigned> uses;
  for (unsigned n = 0; n < Messages; ++n)
    for (const Address &it : BroadcastPlan::make(view, random).relays)
      ++uses[it];
  for (const auto &[relay, count] : uses)
    CHECK(count <= Messages / 5);
}

TEST(BroadcastPlan, AbsentMembersGetNothingAndSuspectOnesRelayOnlyAtNeed) {
  const auto livenessOf = [](std::size_t n) {
    if (n % Domains == 1)
      return n < Nodes / 2 ? Liveness::Dead : Liveness::Left;
    if (n % Domains == 2)
      return Liveness::Suspect;
    return n % 2 == 0 ? Liveness::Suspect : Liveness::Alive;
  };
  const Membership view = makeView(0, livenessOf);
  const auto plan = BroadcastPlan::make(view, random);
  CHECK_EQUAL(Domains - 2, plan.relays.size());
  for (const Address &it : plan.relays) {
    CHECK(indexOf(it) % Domains != 1);
    const bool isOnlyChoice = indexOf(it) % Domains % 2 == 0;
    CHECK(isOnlyChoice || livenessOf(indexOf(it)) == Liveness::Alive);
  }
  CHECK_FALSE(plan.local.empty());
}
