/** \file
 * Decides when a departure may be acknowledged, and when the departures that
 * earlier processes of this node have acknowledged are known. */
#ifndef PLANTAINHATCH_PROCESS_DEPARTURERECORD_H
#define PLANTAINHATCH_PROCESS_DEPARTURERECORD_H

#include "process/DepartureList.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace plantainhatch {

/** The departures of this node's targets, and who else has them: the store,
 * which outlives all nodes, and a few other nodes, which also answer while the
 * store is away. Each change of the list has a number, its revision. Performs
 * no I/O. Not thread-safe. */
class DepartureRecord {
public:
  /** How long a departure waits for the store before a copy at another node is
   * enough, and how long restoring waits for other nodes once the store has
   * answered. */
  static constexpr std::chrono::milliseconds PeerGrace{300};
  /** How long restoring waits for the store once another node has answered. */
  static constexpr std::chrono::milliseconds StoreGrace{600};
  /** How long a departure waits for any copy. */
  static constexpr std::chrono::milliseconds RecordTimeout{800};

  /** Where the copies of a departure are. */
  enum class Copies : std::uint8_t {
    /** There is none yet that counts. */
    Pending,
    Store,
    Peer,
    /** There was none within RecordTimeout. */
    None
  };

  /** The departures that earlier processes have acknowledged are asked for from
   * now on. Later calls have no effect. */
  void startRestore(TimePoint now);

  /** Adds a departure. \return the revision of the list that contains it. */
  std::uint64_t add(const Departure &departure);

  /** The store has returned its row, or none. \return true if the list has
   * grown. */
  bool onStoreRead(const std::vector<Departure> &departures);
  /** The row in the store is as the list was at \p revision. */
  void onStoreWritten(std::uint64_t revision);
  /** The store has come back from a copy, which may lack any part of the list.
   */
  void onStoreSetBack() { savedRevision = 0; }
  /** Another node has returned what it keeps for this one. \return true if the
   * list has grown. */
  bool onPeerRead(const std::vector<Departure> &departures);
  /** Another node keeps the list as it was at \p revision. */
  void onPeerKept(std::uint64_t revision);

  /** True once the departures that earlier processes have acknowledged are in
   * the list. Stays true. */
  bool isRestored(TimePoint now);

  /** State of a departure that was added as \p addedRevision at \p addedAt. */
  Copies copiesOf(std::uint64_t addedRevision, TimePoint addedAt,
                  TimePoint now) const;

  bool isRestoreStarted() const { return restoreStartedAt.has_value(); }
  bool hasStoreAnswered() const { return storeAnswered; }
  bool hasPeerAnswered() const { return peerAnswered; }
  /** True if the store lacks a part of the list. */
  bool isUnsaved() const { return savedRevision < currentRevision; }
  /** True if no other node is known to keep the whole list. */
  bool isUnkept() const { return keptRevision < currentRevision; }
  std::uint64_t revision() const { return currentRevision; }
  const DepartureList &list() const { return departures; }

private:
  /** Empty until startRestore(). */
  std::optional<TimePoint> restoreStartedAt;
  DepartureList departures;
  std::uint64_t currentRevision = 0;
  std::uint64_t savedRevision = 0;
  std::uint64_t keptRevision = 0;
  bool storeAnswered = false;
  bool peerAnswered = false;
  bool restored = false;

  bool addOlder(const std::vector<Departure> &older);
};

} // namespace plantainhatch

#endif
