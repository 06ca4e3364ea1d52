/** \file
 * Keeps the departures of the local target's instances beyond the life of the
 * process. */
#ifndef PLANTAINHATCH_NODE_DEPARTURETASK_H
#define PLANTAINHATCH_NODE_DEPARTURETASK_H

#include "connection/Timer.h"
#include "node/NodeServices.h"
#include "node/PeerTask.h"
#include "process/DepartureRecord.h"
#include "process/PeerDepartures.h"

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantainhatch {

/** Name of the table with one row of departures for each node; see
 * NodeServices::tableName(). */
inline constexpr const char *DepartureTable = "departures";

/** Copies each departure to a row of the store and to a few other nodes, and
 * reads them back in the next process. A departure may be acknowledged only
 * once it has a copy, as the target does not repeat it, while a message that it
 * sent before may still arrive after a restart of this node. The row is written
 * again when the store has come back from a copy. Use on the main loop only. */
class DepartureTask {
public:
  /** Other nodes that keep a copy. */
  static constexpr std::size_t Keepers = 3;
  /** Actions that wait for the departures of earlier processes; beyond that,
   * the oldest are dropped. */
  static constexpr std::size_t MaxWaitingActions = 32;

  /** Called with true once the departure has a copy elsewhere, or with false if
   * it has none in time. */
  using RecordedCallback = std::function<void(bool)>;

  /** The arguments must outlive the task. */
  DepartureTask(NodeServices &services, PeerTask &peers);

  /** Adds a departure, which contains() returns from now on, and calls \p done
   * within DepartureRecord::RecordTimeout, possibly before this returns. */
  void record(const Departure &departure, RecordedCallback done);

  /** Calls \p action once the departures of earlier processes are known,
   * possibly before this returns. Until then no instance may be used: it may
   * have left. They are read when this is called first, as a node without a
   * target has no use for them. */
  void whenRestored(std::function<void()> action);

  /** Sets a callback for departures that turn out to have been recorded by an
   * earlier process after whenRestored() has called back. */
  void onLateDeparture(std::function<void()> action) {
    lateDepartureCallback = std::move(action);
  }

  /** True if the instance that started at \p startedAt has left. */
  bool contains(const std::string &bootId, WallTime startedAt) const {
    return state.list().contains(bootId, startedAt);
  }
  const DepartureList &list() const { return state.list(); }

  /** Keeps departures for another node. */
  void keepFor(const Address &node, const DepartureNotice &notice) {
    peerDepartures.keep(node, notice.departures);
  }
  /** What was kept for another node. */
  DepartureReply answer(const Address &node) const {
    return {peerDepartures.find(node)};
  }

private:
  /** A departure that is not acknowledged yet. */
  struct PendingRecord {
    Departure departure;
    std::uint64_t revision = 0;
    TimePoint addedAt;
    RecordedCallback done;
  };

  NodeServices &services;
  PeerTask &peers;
  DepartureRecord state;
  PeerDepartures peerDepartures;
  std::vector<PendingRecord> pendingRecords;
  std::deque<std::function<void()>> waitingActions;
  std::function<void()> lateDepartureCallback;
  Timer timer;
  /** Etag of the row as it was last read or written. */
  std::optional<std::string> etag;
  /** The row was read since it was last written by another process. */
  bool isEtagKnown = false;
  bool isStoreBusy = false;
  TimePoint nextStoreAttemptAt;
  TimePoint nextPeerAttemptAt;
  Duration storeRetryDelay;
  Duration peerRetryDelay;
  /** Nodes that have told what they keep for this one. */
  std::set<Address> answeredPeers;
  bool isRestoreReported = false;

  /** Runs the timer, which stops when there is nothing to do. */
  void resumeTicks();
  void tick();
  /** Reads or writes the row if there is a reason to. */
  void useStore();
  void readRow();
  void onRow(const RowResult &row);
  void writeRow();
  void retryStoreLater();
  /** Has the row read and written again, as the store may have lost it. */
  void onStoreSetBack();
  /** Asks other nodes for departures, or gives them those of this node. */
  void usePeers();
  void askPeer(const Address &peer);
  void notifyPeer(const Address &peer);
  /** \param hasGrown is true if departures of earlier processes were added. */
  void onRead(bool hasGrown);
  void finishRestore();
  void finishRecords();
};

} // namespace plantainhatch

#endif
