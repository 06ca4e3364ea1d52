/** \file
 * Quarantine of requests that crash the targets which process them. */
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

/** Tracks the fingerprints of requests that were in flight when targets
 * crashed. A request is quarantined once it was in flight at CrashLimit crashes
 * without completing in between. Not thread-safe. */
class Quarantine {
public:
  static constexpr std::size_t CrashLimit = 2;
  /** Suspicion and quarantine end this long after the first report of the last
   * crash. */
  static constexpr std::chrono::minutes Lifetime{10};
  /** Number of completions that are remembered, which is the work of one target
   * for many seconds. */
  static constexpr std::size_t MaxCompletions = 1024;
  /** Number of requests that were suspected and completed since, whose crashes
   * are remembered. */
  static constexpr std::size_t MaxClearances = 256;

  /** Identifies one instance of a target by the peers address of its node and
   * its boot ID. */
  using TargetInstance = std::pair<Address, std::string>;

  /** An instance of a target crashed while requests with these fingerprints
   * were in flight. The same crash may be reported repeatedly and counts once,
   * at its first report; for a request that has completed since, not at all.
   * \return the fingerprints that are newly quarantined. */
  std::vector<std::uint64_t>
  onCrash(const TargetInstance &instance,
          const std::vector<std::uint64_t> &fingerprints, TimePoint now);

  /** A request completed at this node with a full answer, so that it is no
   * longer suspected.
   * \return true if it was suspected; other nodes should then be informed. */
  bool onCompleted(std::uint64_t fingerprint, TimePoint now);

  /** A request completed at another node.
   * \return true if it was suspected here. */
  bool clear(std::uint64_t fingerprint);

  /** True if the request completed at this node at \p since or later, as far as
   * completions are remembered. */
  bool wasCompletedSince(std::uint64_t fingerprint, TimePoint since) const;

  /** True if the request must not be passed to a target. */
  bool isQuarantined(std::uint64_t fingerprint, TimePoint now) const;

  /** Removes suspicions that are older than Lifetime. */
  void expire(TimePoint now);

  /** A suspected or quarantined request, for the status page. */
  struct Entry {
    std::uint64_t fingerprint = 0;
    std::size_t crashes = 0;
    bool isQuarantined = false;
    /** Until the entry expires. */
    Duration remaining{};
    /** Since the first report of the last crash. */
    Duration age{};
  };
  /** All suspected and quarantined requests, by fingerprint. */
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
  /** The crashes that a request is no longer suspected of. */
  struct Clearance {
    std::uint64_t fingerprint = 0;
    std::set<TargetInstance> crashes;
  };
  std::map<std::uint64_t, Suspicion> suspicions;
  /** Oldest first. */
  std::deque<Clearance> clearances;
  /** Oldest first. */
  std::deque<Completion> completions;

  bool isCleared(std::uint64_t fingerprint,
                 const TargetInstance &instance) const;
};

} // namespace plantainhatch

#endif
