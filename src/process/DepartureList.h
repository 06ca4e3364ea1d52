/** \file
 * The instances of a target that have left. */
#ifndef PLANTAINHATCH_PROCESS_DEPARTURELIST_H
#define PLANTAINHATCH_PROCESS_DEPARTURELIST_H

#include "base/Time.h"
#include "process/BoundedSerialization.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainhatch {

/** The departure of an instance, that is of one start of a target. */
struct Departure {
  std::string bootId;
  /** Start of the instance. A later start under the same boot ID is another
   * instance. If the start is not known, a time by which it had started. */
  WallTime startedBy;

  bool operator==(const Departure &) const = default;

  /** Serialization hook. */
  template <typename Archive> void serialize(Archive &archive) {
    std::int64_t startedByMs = startedBy.time_since_epoch().count();
    archive(bootId, startedByMs);
    startedBy = WallTime(std::chrono::milliseconds(startedByMs));
  }
};

/** The latest departures of the targets of one node. An instance that has left
 * does not come back, whatever arrives from it later. Not thread-safe. */
class DepartureList {
public:
  /** Departures that are kept. Messages of an instance are not delayed for as
   * long as this many others take to come and go. */
  static constexpr std::size_t MaxEntries = 16;

  /** Adds a departure, or extends the one of the same boot ID, and drops the
   * oldest beyond MaxEntries.
   * \return false if the list contained it. */
  bool add(const Departure &departure);

  /** Adds departures that are older than those in the list. \return false if
   * the list contained all of them. */
  bool addOlder(const std::vector<Departure> &older);

  /** True if the instance that started at \p startedAt has left. */
  bool contains(const std::string &bootId, WallTime startedAt) const;

  /** Oldest first. */
  const std::vector<Departure> &entries() const { return departures; }

private:
  std::vector<Departure> departures;
};

} // namespace plantainhatch

#endif
