#include "process/Quarantine.h"

#include <algorithm>

namespace plantainhatch {

std::vector<std::uint64_t>
Quarantine::onCrash(const Crash &crash,
                    const std::vector<std::uint64_t> &fingerprints,
                    TimePoint now) {
  std::vector<std::uint64_t> quarantined;
  for (const std::uint64_t fingerprint : fingerprints) {
    Suspicion &suspicion = suspicions[fingerprint];
    const bool isNew = suspicion.crashes.insert(crash).second;
    suspicion.lastAt = now;
    if (isNew && suspicion.crashes.size() == CrashLimit)
      quarantined.push_back(fingerprint);
  }
  return quarantined;
}

bool Quarantine::clear(std::uint64_t fingerprint) {
  return suspicions.erase(fingerprint) > 0;
}

bool Quarantine::isQuarantined(std::uint64_t fingerprint, TimePoint now) const {
  const auto it = suspicions.find(fingerprint);
  return it != suspicions.end() && it->second.crashes.size() >= CrashLimit &&
         now - it->second.lastAt < Lifetime;
}

void Quarantine::expire(TimePoint now) {
  std::erase_if(suspicions, [&](const auto &item) {
    return now - item.second.lastAt >= Lifetime;
  });
}

std::vector<Quarantine::Entry> Quarantine::list(TimePoint now) const {
  std::vector<Entry> entries;
  for (const auto &[fingerprint, suspicion] : suspicions) {
    const Duration remaining =
        std::max(Duration{}, Lifetime - (now - suspicion.lastAt));
    entries.push_back({fingerprint, suspicion.crashes.size(),
                       suspicion.crashes.size() >= CrashLimit, remaining});
  }
  return entries;
}

} // namespace plantainhatch
