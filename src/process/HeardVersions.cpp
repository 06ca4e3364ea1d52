#include "process/HeardVersions.h"

#include <algorithm>

namespace plantainhatch {

bool HeardVersions::onHeard(std::uint64_t version, const Address &holder,
                            TimePoint now) {
  if (version <= inForce || version < newest())
    return false;
  const bool isNew = version > newest();
  if (isNew && entries.size() < MaxVersions) {
    entries.push_back({version, now, false, {}});
  } else if (isNew) {
    entries.back().version = version;
    entries.back().holders.clear();
  }
  auto &known = entries.back().holders;
  std::erase(known, holder);
  known.insert(known.begin(), holder);
  known.resize(std::min(known.size(), MaxHolders));
  return isNew;
}

void HeardVersions::onInForce(std::uint64_t version) {
  inForce = std::max(inForce, version);
  std::erase_if(entries,
                [this](const Entry &it) { return it.version <= inForce; });
}

void HeardVersions::onConfirmed(TimePoint askedAt) {
  std::erase_if(entries,
                [&](const Entry &it) { return it.heardAt <= askedAt; });
}

void HeardVersions::onUsed(std::uint64_t version) {
  for (Entry &it : entries)
    it.isUsed = it.isUsed || it.version <= version;
}

bool HeardVersions::isOutdated(TimePoint now) const {
  return std::ranges::any_of(entries,
                             [](const Entry &it) { return it.isUsed; }) ||
         lag(now) >= MaxLag;
}

Duration HeardVersions::lag(TimePoint now) const {
  return entries.empty() ? Duration() : now - entries.front().heardAt;
}

std::uint64_t HeardVersions::newest() const {
  return entries.empty() ? 0 : entries.back().version;
}

std::vector<Address> HeardVersions::holders() const {
  return entries.empty() ? std::vector<Address>() : entries.back().holders;
}

} // namespace plantainhatch
