#include "process/VersionHistory.h"

#include <algorithm>

namespace plantainhatch {

void VersionHistory::onAdopted(std::uint64_t version, TimePoint now) {
  adoptions.push_back({version, now});
  if (adoptions.size() > MaxVersions)
    adoptions.pop_front();
}

std::optional<TimePoint>
VersionHistory::supersededAt(std::uint64_t version) const {
  const auto it =
      std::ranges::upper_bound(adoptions, version, {}, &Adoption::version);
  return it == adoptions.end() ? std::nullopt : std::optional(it->time);
}

} // namespace plantainhatch
