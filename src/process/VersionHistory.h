/** \file
 * When versions of the configuration came into force at this node. */
#ifndef PLANTAINHATCH_PROCESS_VERSIONHISTORY_H
#define PLANTAINHATCH_PROCESS_VERSIONHISTORY_H

#include "base/Time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace plantainhatch {

/** Tells since when a version has been superseded. Keeps the latest adoptions
 * only. Not thread-safe. */
class VersionHistory {
public:
  static constexpr std::size_t MaxVersions = 32;
  /** The first version of an era supersedes older ones only after this long if
   * it differs from the one before by its number alone; any other does so at
   * once. */
  static constexpr std::chrono::seconds EraGrace{10};

  /** \p version has come into force. \pre It is newer than all before.
   * \param hasSameText it differs from the one before by its number alone. */
  void onAdopted(std::uint64_t version, TimePoint now,
                 bool hasSameText = false);

  /** Since when \p version is superseded, which is when the first version after
   * it came into force, apart from EraGrace; the earliest time that is kept if
   * that was before it, and nothing if there is none. May be in the future. */
  std::optional<TimePoint> supersededAt(std::uint64_t version) const;

private:
  struct Adoption {
    std::uint64_t version = 0;
    TimePoint time;
  };
  /** In ascending order. */
  std::deque<Adoption> adoptions;
};

} // namespace plantainhatch

#endif
