/** \file
 * Requests that are suspected of crashing each target that runs them. */
#ifndef PLANTAINHATCH_PROCESS_QUARANTINE_H
#define PLANTAINHATCH_PROCESS_QUARANTINE_H

#include "base/Address.h"
#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace plantainhatch {

/** Fingerprints that were in flight when targets died. One is quarantined once
 * it was there at the death of CrashLimit different targets with no full answer
 * in between. Not thread-safe. */
class Quarantine {
public:
  static constexpr std::size_t CrashLimit = 2;
  static constexpr std::chrono::minutes Lifetime{10};
  /** Answers that are remembered: many seconds of one target's work. */
  static constexpr std::size_t MaxCompletions = 1024;

  /** One start of one target. */
  using TargetInstance = std::pair<Address, std::string>;

  /** A target died while these were in flight.
   * \return those that are quarantined from now on. */
  std::vector<std::uint64_t>
  onCrash(const TargetInstance &crash,
          const std::vector<std::uint64_t> &fingerprints, TimePoint now);

  /** A request was answered in full here, so it is not to blame.
   * \return true if it was suspected, so that others should be told. */
  bool onCompleted(std::uint64_t fingerprint, TimePoint now);

  /** A request was answered in full elsewhere. \return as for onAnswered(). */
  bool clear(std::uint64_t fingerprint);

  /** True if the request is known to have been answered in full here at \p
   * since or later. */
  bool wasCompletedSince(std::uint64_t fingerprint, TimePoint since) const;

  /** True if the request must not be handed to a target. */
  bool isQuarantined(std::uint64_t fingerprint, TimePoint now) const;

  /** Drops what is older than Lifetime. */
  void expire(TimePoint now);

  /** One entry for display. */
  struct Entry {
    std::uint64_t fingerprint = 0;
    std::size_t crashes = 0;
    bool isQuarantined = false;
    Duration remaining{};
    /** Since the last death. */
    Duration age{};
  };
  /** All suspected and quarantined requests. */
  std::vector<Entry> list(TimePoint now) const;

private:
  struct Suspicion {
    std::set<TargetInstance> crashes;
    TimePoint lastCrashAt;
  };
  struct Completion {
    std::uint64_t fingerprint = 0;
    TimePoint at;
  };
  std::map<std::uint64_t, Suspicion> suspicions;
  /** The newest last. */
  std::deque<Completion> completions;
};

} // namespace plantainhatch

#endif
