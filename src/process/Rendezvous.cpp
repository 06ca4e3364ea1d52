#include "process/Rendezvous.h"

#include "base/Digest.h"

#include <algorithm>
#include <ranges>
#include <set>

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

std::vector<Address> findSpread(const Membership &membership,
                                std::string_view task, std::size_t count) {
  struct Candidate {
    std::uint64_t weight = 0;
    const Member *member = nullptr;
    bool isFirstOfDomain = false;
  };
  std::vector<Candidate> candidates;
  for (const Member &member : membership.others() | std::views::values)
    if (member.liveness == Liveness::Alive)
      candidates.push_back({weightOf(member.peersAddress, task), &member});
  std::ranges::sort(candidates, std::ranges::greater{}, &Candidate::weight);
  std::set<std::string> domains;
  for (Candidate &it : candidates)
    it.isFirstOfDomain = domains.insert(it.member->failureDomain).second;
  std::ranges::stable_partition(candidates, std::identity{},
                                &Candidate::isFirstOfDomain);
  std::vector<Address> selected;
  std::ranges::transform(
      candidates | std::views::take(count), std::back_inserter(selected),
      [](const Candidate &it) { return it.member->peersAddress; });
  return selected;
}

std::vector<Address> findHighest(const Membership &membership,
                                 std::string_view task, std::size_t count) {
  const Address &self = membership.self().peersAddress;
  std::vector<std::pair<std::uint64_t, Address>> candidates{
      {weightOf(self, task), self}};
  for (const Member &member : membership.others() | std::views::values)
    if (member.liveness == Liveness::Alive)
      candidates.emplace_back(weightOf(member.peersAddress, task),
                              member.peersAddress);
  std::ranges::sort(candidates, std::ranges::greater{});
  std::vector<Address> highest;
  std::ranges::copy(candidates | std::views::values | std::views::take(count),
                    std::back_inserter(highest));
  return highest;
}

} // namespace plantainhatch
