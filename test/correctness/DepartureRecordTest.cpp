/** \file
 * When a departure may be acknowledged, and when a node that has started knows
 * those of the process before it. */
#include "process/DepartureRecord.h"
#include "process/PeerDepartures.h"

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using std::chrono::milliseconds;
using Copies = DepartureRecord::Copies;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

Departure leaving(const std::string &bootId, std::int64_t startedByMs = 100) {
  return {bootId, WallTime(milliseconds(startedByMs))};
}

bool isIn(const DepartureRecord &record, const Departure &departure) {
  return record.list().contains(departure.bootId, departure.startedBy);
}

} // namespace

TEST_GROUP(DepartureRecord) {
  DepartureRecord record;

  void setup() override { record.startRestore(Start); }

  Copies copiesAfter(std::uint64_t revision, milliseconds time) const {
    return record.copiesOf(revision, Start, Start + time);
  }
};

TEST(DepartureRecord, IsAcknowledgedOnceTheStoreHasIt) {
  const auto revision = record.add(leaving("i-1"));
  CHECK(copiesAfter(revision, milliseconds(0)) == Copies::Pending);
  record.onStoreWritten(revision);
  CHECK(copiesAfter(revision, milliseconds(5)) == Copies::Store);
}

// Guards against an acknowledgement that the loss of all nodes right after it
// would undo, though the store was about to answer.
TEST(DepartureRecord, CopyAtAnotherNodeCountsOnlyOnceTheStoreIsLate) {
  const auto revision = record.add(leaving("i-1"));
  record.onPeerKept(revision);
  CHECK(copiesAfter(revision, milliseconds(5)) == Copies::Pending);
  CHECK(copiesAfter(revision, DepartureRecord::PeerGrace) == Copies::Peer);
}

TEST(DepartureRecord, IsNotAcknowledgedWithoutACopy) {
  const auto revision = record.add(leaving("i-1"));
  const auto last = DepartureRecord::RecordTimeout - milliseconds(1);
  CHECK(copiesAfter(revision, last) == Copies::Pending);
  CHECK(copiesAfter(revision, DepartureRecord::RecordTimeout) == Copies::None);
}

TEST(DepartureRecord, CopyOfAnEarlierListIsNoCopyOfThisDeparture) {
  const auto first = record.add(leaving("i-1"));
  const auto second = record.add(leaving("i-2"));
  record.onStoreWritten(first);
  record.onPeerKept(first);
  CHECK(copiesAfter(first, DepartureRecord::PeerGrace) == Copies::Store);
  CHECK(copiesAfter(second, DepartureRecord::PeerGrace) == Copies::Pending);
}

TEST(DepartureRecord, RepeatedDepartureNeedsNoSecondCopy) {
  const auto revision = record.add(leaving("i-1"));
  record.onStoreWritten(revision);
  CHECK_EQUAL(revision, record.add(leaving("i-1")));
  CHECK_FALSE(record.isUnsaved());
}

TEST(DepartureRecord, StartWaitsForTheStoreAndBrieflyForOtherNodes) {
  CHECK_FALSE(record.isRestored(Start));
  CHECK(record.onStoreRead({leaving("i-1")}));
  CHECK_FALSE(record.isRestored(Start + milliseconds(10)));
  CHECK(record.isRestored(Start + DepartureRecord::PeerGrace));
  CHECK(isIn(record, leaving("i-1")));
  CHECK_FALSE(record.isUnsaved());
}

TEST(DepartureRecord, StartDoesNotWaitForAStoreThatIsAwayIfANodeAnswers) {
  CHECK_FALSE(record.isRestored(Start + DepartureRecord::StoreGrace));
  CHECK(record.onPeerRead({leaving("i-1")}));
  CHECK(record.isRestored(Start + DepartureRecord::StoreGrace));
  CHECK(isIn(record, leaving("i-1")));
}

TEST(DepartureRecord, WhatOnlyAnotherNodeKeptIsWrittenToTheStore) {
  CHECK(record.onPeerRead({leaving("i-1")}));
  record.onStoreRead({});
  CHECK(record.isUnsaved());
}

// Guards against a departure that is dropped as it was added before the longer
// list of the process before was read.
TEST(DepartureRecord, DeparturesOfEarlierProcessesAreOlder) {
  std::vector<Departure> stored;
  stored.reserve(DepartureList::MaxEntries);
  for (std::size_t n = 0; n < DepartureList::MaxEntries; ++n)
    stored.push_back(leaving("former-" + std::to_string(n)));
  record.add(leaving("new"));
  record.onStoreRead(stored);
  CHECK(isIn(record, leaving("new")));
  CHECK_FALSE(isIn(record, stored.front()));
  CHECK(isIn(record, stored.back()));
}

TEST(DepartureRecord, LaterStartUnderTheSameBootIdHasNotLeft) {
  record.add(leaving("i-1", 100));
  CHECK(isIn(record, leaving("i-1", 50)));
  CHECK_FALSE(isIn(record, leaving("i-1", 101)));
  CHECK_FALSE(isIn(record, leaving("i-2", 100)));
}

TEST(DepartureRecord, NodeKeepsTheDeparturesOfManyOthers) {
  PeerDepartures kept;
  const auto addressOf = [](std::size_t n) {
    return Address{"10.0.0.1", static_cast<std::uint16_t>(n + 1)};
  };
  for (std::size_t n = 0; n <= PeerDepartures::MaxNodes; ++n)
    kept.keep(addressOf(n), {leaving("i-" + std::to_string(n))});
  CHECK(kept.find(addressOf(0)).empty());
  CHECK(kept.find(addressOf(1)).front() == leaving("i-1"));
  kept.keep(addressOf(1), {leaving("next")});
  CHECK_EQUAL(2, kept.find(addressOf(1)).size());
}
