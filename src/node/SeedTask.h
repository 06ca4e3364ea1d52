/** \file
 * Maintains the seed rows in the platform's table, by which nodes discover each
 * other. */
#ifndef PLANTAINHATCH_NODE_SEEDTASK_H
#define PLANTAINHATCH_NODE_SEEDTASK_H

#include "connection/Timer.h"
#include "node/NodeServices.h"
#include "node/PeerTask.h"

#include <string>
#include <vector>

namespace plantainhatch {

/** Name of the table of seed rows; see NodeServices::tableName(). */
inline constexpr const char *SeedTable = "seeds";

/** Reads the seed rows, joins the nodes that they name, and, unless a row names
 * this node, takes over a row of this failure domain that is missing or names
 * no node that is present. Seed rows are hints: a wrong one delays discovery,
 * but no decision depends on it. Use on the main loop only. */
class SeedTask {
public:
  /** Seed rows per failure domain, and also the number of its nodes that read
   * the rows regularly. */
  static constexpr unsigned RowsPerDomain = 3;
  /** Interval of joins, and of reads while this node knows no other node. */
  static constexpr std::chrono::milliseconds BootstrapInterval{500};
  /** Interval of reads otherwise, by the chosen readers of each failure domain
   * only. */
  static constexpr std::chrono::seconds RefreshInterval{5};
  /** The same in site mode, where each request to the store is billed. */
  static constexpr std::chrono::seconds SiteRefreshInterval{30};
  /** The first of these reads in site mode comes this long after the start,
   * when the members of the failure domain are known. */
  static constexpr std::chrono::seconds SiteFirstRefresh{2};
  /** Upper bound of the interval of reads while this node knows no other node
   * and the store fails. */
  static constexpr std::chrono::milliseconds MaxBootstrapInterval{2'000};

  /** Seeds that a node joins in one interval while it knows fewer nodes than
   * there are seeds, as the nodes that it has joined may have started as
   * recently and know as few. */
  static constexpr std::size_t MaxJoinsPerInterval = 8;

  /** Number of seeds to join in one interval. Pure. */
  static std::size_t joinsPerInterval(std::size_t known, std::size_t seeds) {
    return known < seeds ? MaxJoinsPerInterval : 1;
  }

  SeedTask(NodeServices &services, PeerTask &peers);

  /** Joins the seeds of the settings, reads the rows, and goes on doing so at
   * the intervals above. */
  void start();

private:
  NodeServices &services;
  PeerTask &peers;
  Timer timer;
  TimePoint lastReadAt;
  Duration bootstrapInterval = BootstrapInterval;
  /** Seeds still to be joined: one per interval, unless joinsPerInterval()
   * returns more. A join transfers only the members that differ: after the
   * first one these are few, while joins at the same time would each transfer
   * the whole membership, which is large. */
  std::vector<Address> pendingJoins;
  /** Number of rows in the last read. */
  std::size_t seedCount = 0;
  bool hasRefreshed = false;
  unsigned readCount = 0;

  void tick();
  void joinConfiguredSeeds();
  void readSeeds();
  void joinNext(std::size_t count);
  void onRows(const std::vector<Row> &rows);
  /** Takes a row of this failure domain that is free, or whose holder is known
   * to be absent. */
  void acquireRow(const std::vector<Row> &rows);
  /** Joins the nodes that the rows name, which another one was quicker to
   * write. */
  void joinHolders(const std::vector<Row> &rows);
  bool isPresent(const Address &address) const;
  /** True if the node that a row names may be present. */
  bool isHeld(const Address &holder) const;
};

} // namespace plantainhatch

#endif
