#include "process/ConfigurationReplica.h"

#include <algorithm>
#include <ranges>

namespace plantainhatch {

AdoptResult ConfigurationReplica::adopt(const ConfigurationHead &head,
                                        std::string text) {
  if (head.version == version() && head.digest != active->head().digest)
    return AdoptResult::Conflict;
  if (head.version <= version())
    return AdoptResult::NotNewer;
  return install(head, std::move(text));
}

AdoptResult ConfigurationReplica::adopt(const ConfigurationUpdate &update) {
  if (update.snapshot)
    return adopt(update.snapshot->first, update.snapshot->second);
  if (update.fromVersion != version() || update.deltas.empty())
    return AdoptResult::NotNewer;
  AdoptResult result = AdoptResult::NotNewer;
  for (const ConfigurationDelta &next : update.deltas) {
    auto text = next.textDelta.apply(active->text());
    if (!text)
      return AdoptResult::Invalid;
    result = adopt(next.head, std::move(*text));
    if (result != AdoptResult::Adopted)
      return result;
  }
  return result;
}

std::optional<ConfigurationUpdate>
ConfigurationReplica::updateFor(std::uint64_t peerVersion,
                                const std::string &digest) const {
  if (peerVersion >= version())
    return std::nullopt;
  ConfigurationUpdate update{peerVersion, {}, std::nullopt};
  if (digestAt(peerVersion) == digest) {
    const auto count = static_cast<std::ptrdiff_t>(version() - peerVersion);
    std::ranges::copy(deltas.end() - count, deltas.end(),
                      std::back_inserter(update.deltas));
  } else {
    update.snapshot.emplace(active->head(), active->text());
  }
  return update;
}

AdoptResult ConfigurationReplica::install(const ConfigurationHead &head,
                                          std::string text) {
  const auto built = builder(head, std::move(text));
  if (!built)
    return AdoptResult::Invalid;
  const bool isNext = head.version == version() + 1;
  if (!isNext)
    deltas.clear();
  if (isNext) {
    if (deltas.empty())
      baseDigest = active->head().digest;
    deltas.push_back(
        {head, TextDelta::between(active->text(), built.value()->text())});
  }
  if (deltas.size() > MaxDeltas) {
    baseDigest = deltas.front().head.digest;
    deltas.pop_front();
  }
  active = built.value();
  return AdoptResult::Adopted;
}

std::optional<std::string>
ConfigurationReplica::digestAt(std::uint64_t soughtVersion) const {
  if (deltas.empty())
    return std::nullopt;
  const std::uint64_t base = deltas.front().head.version - 1;
  if (soughtVersion == base)
    return baseDigest;
  const auto it = std::ranges::find(
      deltas, soughtVersion,
      [](const ConfigurationDelta &entry) { return entry.head.version; });
  return it == deltas.end() ? std::nullopt : std::optional(it->head.digest);
}

} // namespace plantainhatch
