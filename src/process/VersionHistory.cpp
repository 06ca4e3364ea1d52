#include "process/VersionHistory.h"

#include "version/StoreVersion.h"

#include <algorithm>

namespace plantainhatch {

void VersionHistory::onAdopted(std::uint64_t version, TimePoint now,
                               bool hasSameText) {
  const bool isSameInNewEra = hasSameText && !adoptions.empty() &&
                              eraOf(version) > eraOf(adoptions.back().version);
  adoptions.push_back({version, isSameInNewEra ? now + EraGrace : now});
  if (adoptions.size() > MaxVersions)
    adoptions.pop_front();
}

std::optional<TimePoint>
VersionHistory::supersededAt(std::uint64_t version) const {
  const auto it =
      std::ranges::upper_bound(adoptions, version, {}, &Adoption::version);
  if (it == adoptions.end())
    return std::nullopt;
  return std::ranges::min_element(it, adoptions.end(), {}, &Adoption::time)
      ->time;
}

} // namespace plantainhatch
