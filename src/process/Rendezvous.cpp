#include "process/Rendezvous.h"

#include "base/Digest.h"

#include <algorithm>
#include <ranges>

namespace plantainhatch {

namespace {

std::uint64_t weightOf(const Address &member, std::string_view task) {
  return stableHash(member.toString() + "/" + std::string(task));
}

} // namespace

bool isSelectedFor(const Membership &membership, std::string_view task,
                   std::size_t count) {
  const Member &self = membership.self();
  const std::uint64_t ownWeight = weightOf(self.peersAddress, task);
  const auto outranksSelf = [&](const Member &member) {
    return member.liveness == Liveness::Alive &&
           member.failureDomain == self.failureDomain &&
           weightOf(member.peersAddress, task) > ownWeight;
  };
  const auto higherCount = std::ranges::count_if(
      membership.others() | std::views::values, outranksSelf);
  return static_cast<std::size_t>(higherCount) < count;
}

Address findSelected(const Membership &membership, std::string_view task) {
  const Member &self = membership.self();
  Address selected = self.peersAddress;
  std::uint64_t highest = weightOf(selected, task);
  for (const Member &member : membership.others() | std::views::values) {
    const bool isEligible = member.liveness == Liveness::Alive &&
                            member.failureDomain == self.failureDomain;
    if (!isEligible)
      continue;
    const std::uint64_t weight = weightOf(member.peersAddress, task);
    if (weight <= highest)
      continue;
    highest = weight;
    selected = member.peersAddress;
  }
  return selected;
}

} // namespace plantainhatch
