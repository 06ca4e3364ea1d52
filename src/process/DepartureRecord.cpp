#include "process/DepartureRecord.h"

#include <algorithm>

namespace plantainhatch {

void DepartureRecord::startRestore(TimePoint now) {
  if (!restoreStartedAt)
    restoreStartedAt = now;
}

std::uint64_t DepartureRecord::add(const Departure &departure) {
  if (departures.add(departure))
    ++currentRevision;
  return currentRevision;
}

bool DepartureRecord::addOlder(const std::vector<Departure> &older) {
  const bool hasGrown = departures.addOlder(older);
  currentRevision += hasGrown ? 1 : 0;
  return hasGrown;
}

bool DepartureRecord::onStoreRead(const std::vector<Departure> &stored) {
  storeAnswered = true;
  const bool hasGrown = addOlder(stored);
  DepartureList row;
  row.addOlder(stored);
  const bool isComplete =
      std::ranges::all_of(departures.entries(), [&](const Departure &it) {
        return row.contains(it.bootId, it.startedBy);
      });
  if (isComplete)
    savedRevision = currentRevision;
  return hasGrown;
}

void DepartureRecord::onStoreWritten(std::uint64_t revision) {
  savedRevision = std::max(savedRevision, revision);
}

bool DepartureRecord::onPeerRead(const std::vector<Departure> &kept) {
  peerAnswered = true;
  return addOlder(kept);
}

void DepartureRecord::onPeerKept(std::uint64_t revision) {
  keptRevision = std::max(keptRevision, revision);
}

bool DepartureRecord::isRestored(TimePoint now) {
  if (!restoreStartedAt)
    return false;
  const Duration age = now - *restoreStartedAt;
  restored = restored ||
             (storeAnswered && (peerAnswered || age >= PeerGrace)) ||
             (peerAnswered && age >= StoreGrace);
  return restored;
}

DepartureRecord::Copies DepartureRecord::copiesOf(std::uint64_t addedRevision,
                                                  TimePoint addedAt,
                                                  TimePoint now) const {
  const Duration age = now - addedAt;
  if (savedRevision >= addedRevision)
    return Copies::Store;
  if (keptRevision >= addedRevision && age >= PeerGrace)
    return Copies::Peer;
  return age < RecordTimeout ? Copies::Pending : Copies::None;
}

} // namespace plantainhatch
