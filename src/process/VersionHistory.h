/** \file
 * When versions of the configuration came into force at this node. */
#ifndef PLANTAINHATCH_PROCESS_VERSIONHISTORY_H
#define PLANTAINHATCH_PROCESS_VERSIONHISTORY_H

#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace plantainhatch {

/** Tells since when a version has been superseded. Keeps the latest adoptions
 * only. Not thread-safe. */
class VersionHistory {
public:
  static constexpr std::size_t MaxVersions = 32;

  /** \p version has come into force. \pre It is newer than all before. */
  void onAdopted(std::uint64_t version, TimePoint now);

  /** When the first version after \p version came into force; the earliest time
   * that is kept if that was before it, and nothing if there is none. */
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
