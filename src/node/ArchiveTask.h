/** \file
 * Saves the events of this node to the object store, as VMs keep nothing. */
#ifndef PLANTAINHATCH_NODE_ARCHIVETASK_H
#define PLANTAINHATCH_NODE_ARCHIVETASK_H

#include "connection/Timer.h"
#include "node/NodeServices.h"
#include "node/PeerTask.h"

#include <functional>

namespace plantainhatch {

/** Name of the table that lists segments, without the cluster. */
inline constexpr const char *EventTable = "events";

/** Writes new events as a segment and lists it in one of a few rows of this
 * node. The interval grows with the fleet, so that all nodes together write at
 * a bounded rate. */
class ArchiveTask {
public:
  /** Rows of each node, used in turn; the oldest segment leaves the list. */
  static constexpr unsigned RowsPerNode = 8;
  static constexpr std::chrono::seconds MinInterval{5};
  /** What one node adds to the interval of all. */
  static constexpr std::chrono::milliseconds IntervalPerNode{40};

  ArchiveTask(NodeServices &services, PeerTask &peers);
  void start();

  /** Saves what is new, and calls \p done when it is saved or cannot be. */
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
