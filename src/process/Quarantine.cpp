#include "process/Quarantine.h"

#include <algorithm>

namespace plantainhatch {

std::vector<std::uint64_t>
Quarantine::onCrash(const TargetInstance &instance,
                    const std::vector<std::uint64_t> &fingerprints,
                    TimePoint now) {
  std::vector<std::uint64_t> quarantined;
  for (const std::uint64_t fingerprint : fingerprints) {
    if (isCleared(fingerprint, instance))
      continue;
    Suspicion &suspicion = suspicions[fingerprint];
    if (!suspicion.crashes.insert(instance).second)
      continue;
    suspicion.lastCrashAt = now;
    if (suspicion.crashes.size() == CrashLimit)
      quarantined.push_back(fingerprint);
  }
  return quarantined;
}

bool Quarantine::isCleared(std::uint64_t fingerprint,
                           const TargetInstance &instance) const {
  return std::ranges::any_of(clearances, [&](const Clearance &it) {
    return it.fingerprint == fingerprint && it.crashes.contains(instance);
  });
}

bool Quarantine::onCompleted(std::uint64_t fingerprint, TimePoint now) {
  completions.push_back({fingerprint, now});
  if (completions.size() > MaxCompletions)
    completions.pop_front();
  return clear(fingerprint);
}

bool Quarantine::wasCompletedSince(std::uint64_t fingerprint,
                                   TimePoint since) const {
  return std::ranges::any_of(completions, [&](const Completion &it) {
    return it.fingerprint == fingerprint && it.at >= since;
  });
}

bool Quarantine::clear(std::uint64_t fingerprint) {
  const auto it = suspicions.find(fingerprint);
  if (it == suspicions.end())
    return false;
  clearances.push_back({fingerprint, std::move(it->second.crashes)});
  if (clearances.size() > MaxClearances)
    clearances.pop_front();
  suspicions.erase(it);
  return true;
}

bool Quarantine::isQuarantined(std::uint64_t fingerprint, TimePoint now) const {
  const auto it = suspicions.find(fingerprint);
  return it != suspicions.end() && it->second.crashes.size() >= CrashLimit &&
         now - it->second.lastCrashAt < Lifetime;
}

void Quarantine::expire(TimePoint now) {
  std::erase_if(suspicions, [&](const auto &item) {
    return now - item.second.lastCrashAt >= Lifetime;
  });
}

std::vector<Quarantine::Entry> Quarantine::list(TimePoint now) const {
  std::vector<Entry> entries;
  for (const auto &[fingerprint, suspicion] : suspicions) {
    const Duration age = now - suspicion.lastCrashAt;
    entries.push_back({fingerprint, suspicion.crashes.size(),
                       suspicion.crashes.size() >= CrashLimit,
                       std::max(Duration{}, Lifetime - age), age});
  }
  return entries;
}

} // namespace plantainhatch
