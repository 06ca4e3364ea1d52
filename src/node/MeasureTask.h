/** \file
 * Measures the load of targets within this VM's message and byte budget. */
#ifndef PLANTAINHATCH_NODE_MEASURETASK_H
#define PLANTAINHATCH_NODE_MEASURETASK_H

#include "connection/Timer.h"
#include "node/NodeServices.h"
#include "node/PeerTask.h"
#include "process/LoadTable.h"
#include "process/MeasureBudget.h"

#include <functional>

namespace plantainhatch {

/** Owns the load table and the budget. Answers between nodes carry the load
 * without an extra message; probes and their answers are charged to the budget.
 * Use on the main loop only. */
class MeasureTask {
public:
  /** A target is not probed if its last load report is younger than this. */
  static constexpr std::chrono::milliseconds MinProbeAge{20};

  /** Returns the load of the target beside this node. */
  using LoadSource = std::function<LoadReport()>;

  MeasureTask(NodeServices &services, PeerTask &peers, LoadSource source);

  /** Sets the rates of the budget. */
  void setRates(const MeasureRule &rule) { budget.setRates(rule); }

  /** Sends this node's load to all others, which should learn of an abrupt
   * change at once: directly to those of its failure domain, and through one
   * relay to those of each other one. */
  void broadcastLoad();

  /** Answers a load probe, stores a load report, or stores and relays one;
   * ignores other messages. */
  void onMessage(const Message &message);

  /** Probes a candidate that a call did not pick, so that later calls know its
   * load, unless its load is recent or the budget is used up. \param candidate
   * is the peers address of the node beside the target. */
  void probeIfStale(const Address &candidate);

  LoadTable &loadTable() { return table; }
  const MeasureBudget &measureBudget() const { return budget; }

private:
  NodeServices &services;
  PeerTask &peers;
  LoadSource source;
  LoadTable table;
  MeasureBudget budget;
  Timer expiryTimer;
  std::uint64_t nextSequence = 1;

  void answerProbe(const Address &sender, const LoadProbe &probe);
  void onRelayedLoad(const Address &sender, const RelayedLoad &relayed);
  bool isInOtherDomain(const Address &member) const;
};

} // namespace plantainhatch

#endif
