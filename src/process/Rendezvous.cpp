#include "process/Rendezvous.h"

#include "base/Digest.h"

#include <algorithm>
#include <ranges>

namespace plantainhatch {

namespace {

std::uint64_t weightOf(const Address &member, std::string_view chore) {
  return stableHash(member.toString() + "/" + std::string(chore));
}

} // namespace

bool isSelectedFor(const Membership &membership, std::string_view chore,
                   std::size_t count) {
  const Member &self = membership.self();
  const std::uint64_t own = weightOf(self.peersAddress, chore);
  const auto precedes = [&](const Member &member) {
    return member.liveness == Liveness::Alive &&
           member.failureDomain == self.failureDomain &&
           weightOf(member.peersAddress, chore) > own;
  };
  const auto ahead =
      std::ranges::count_if(membership.others() | std::views::values, precedes);
  return static_cast<std::size_t>(ahead) < count;
}

} // namespace plantainhatch
