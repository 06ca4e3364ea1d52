/** \file
 * Saves the events of this node to the object store, as VMs have no persistent
 * storage. */
#ifndef PLANTAINHATCH_NODE_ARCHIVETASK_H
#define PLANTAINHATCH_NODE_ARCHIVETASK_H

#include "connection/Timer.h"
#include "node/NodeServices.h"
#include "node/PeerTask.h"

#include <functional>

namespace plantainhatch {

/** Name of the table that lists event segments; see NodeServices::tableName().
 */
inline constexpr const char *EventTable = "events";

/** Periodically writes new events as a segment object and lists it in a row of
 * this node. The interval grows with the number of nodes, so the write rate of
 * the whole fleet is bounded. Use on the main loop only. */
class ArchiveTask {
public:
  /** Rows per node, used in turn, so that a new segment replaces the oldest one
   * in the list. */
  static constexpr unsigned RowsPerNode = 8;
  static constexpr std::chrono::seconds MinInterval{5};
  /** The interval is this times the number of nodes present, but at least
   * MinInterval. */
  static constexpr std::chrono::milliseconds IntervalPerNode{40};

  ArchiveTask(NodeServices &services, PeerTask &peers);
  /** Starts to save the events periodically. */
  void start();

  /** Saves the events since the last save. \p done is called once, also if the
   * store fails; the events are then included in the next save. */
  void flush(std::function<void()> done);

private:
  NodeServices &services;
  PeerTask &peers;
  Timer timer;
  HybridTime savedUntil;
  unsigned nextRow = 0;

  void schedule();
  void listSegment(const std::string &object, HybridTime until,
                   std::function<void()> done);
};

} // namespace plantainhatch

#endif
