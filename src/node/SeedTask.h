/** \file
 * Keeps a few rows in the platform's table by which nodes find each other. */
#ifndef PLANTAINHATCH_NODE_SEEDTASK_H
#define PLANTAINHATCH_NODE_SEEDTASK_H

#include "connection/Timer.h"
#include "node/NodeServices.h"
#include "node/PeerTask.h"

#include <string>
#include <vector>

namespace plantainhatch {

/** Name of the table of seeds, without the cluster. */
inline constexpr const char *SeedTable = "seeds";

/** Reads the seed rows, joins the nodes they name, and takes over a row
 * of this failure domain that names no living node. Rows only help nodes meet;
 * nothing rests on their truth. */
class SeedTask {
public:
  /** Rows of each failure domain. */
  static constexpr unsigned RowsPerDomain = 3;
  /** While this node knows nobody. */
  static constexpr std::chrono::milliseconds BootstrapInterval{500};
  /** Otherwise, and then by the readers of each failure domain only. */
  static constexpr std::chrono::seconds RefreshInterval{5};
  /** The same where each call to the store has a price. */
  static constexpr std::chrono::seconds SiteRefreshInterval{30};
  /** The longest pause while this node knows nobody and the store fails. */
  static constexpr std::chrono::milliseconds MaxBootstrapInterval{2'000};

  /** Seeds that a node joins in one interval while it knows fewer nodes than
   * there are seeds, as those it has met may be as new as itself. */
  static constexpr std::size_t MaxJoinsPerInterval = 8;

  /** The seeds to join in one interval. Pure. */
  static std::size_t joinsPerInterval(std::size_t known, std::size_t seeds) {
    return known < seeds ? MaxJoinsPerInterval : 1;
  }

  SeedTask(NodeServices &services, PeerTask &peers);

  /** Joins the seeds of the settings and reads the rows. */
  void start();

private:
  NodeServices &services;
  PeerTask &peers;
  Timer timer;
  TimePoint lastReadAt;
  Duration bootstrapInterval = BootstrapInterval;
  /** Seeds to join one after the other: the first tells of all others, after
   * which little differs, while a whole membership is large. */
  std::vector<Address> pendingJoins;
  /** As last read. */
  std::size_t seedCount = 0;

  void tick();
  void joinConfiguredSeeds();
  void readSeeds();
  void joinNext(std::size_t count);
  void onRows(const std::vector<Row> &rows);
  void acquireRow(const std::vector<Row> &rows);
  bool isPresent(const Address &address) const;
};

} // namespace plantainhatch

#endif
