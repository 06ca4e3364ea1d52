#include "process/BroadcastPlan.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <ranges>
#include <string>

namespace plantainhatch {

namespace {

/** Members that a relay is drawn from. */
using RelayChoices = std::vector<const Member *>;

Address drawRelay(const RelayChoices &present, std::mt19937_64 &random) {
  RelayChoices alive;
  std::ranges::copy_if(
      present, std::back_inserter(alive),
      [](const Member *it) { return it->liveness == Liveness::Alive; });
  const RelayChoices &choices = alive.empty() ? present : alive;
  std::uniform_int_distribution<std::size_t> pick(0, choices.size() - 1);
  return choices[pick(random)]->peersAddress;
}

} // namespace

BroadcastPlan BroadcastPlan::make(const Membership &membership,
                                  std::mt19937_64 &random) {
  BroadcastPlan plan;
  std::map<std::string_view, RelayChoices> otherDomains;
  const std::string &ownDomain = membership.self().failureDomain;
  for (const auto &[address, member] : membership.others()) {
    if (!member.isPresent())
      continue;
    if (member.failureDomain == ownDomain)
      plan.local.push_back(address);
    else
      otherDomains[member.failureDomain].push_back(&member);
  }
  for (const RelayChoices &choices : otherDomains | std::views::values)
    plan.relays.push_back(drawRelay(choices, random));
  return plan;
}

} // namespace plantainhatch
