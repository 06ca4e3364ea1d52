/** \file
 * Learns the load of targets within this VM's budget. */
#ifndef PLANTAINHATCH_NODE_MEASURETASK_H
#define PLANTAINHATCH_NODE_MEASURETASK_H

#include "connection/Timer.h"
#include "node/NodeServices.h"
#include "node/PeerTask.h"
#include "process/LoadTable.h"
#include "process/MeasureBudget.h"

#include <functional>

namespace plantainhatch {

/** Owns the load table and the budget. Load rides on the answers between nodes,
 * which costs no message; probes and their answers draw on the budget. */
class MeasureTask {
public:
  /** A target whose load was heard more recently than this is not probed. */
  static constexpr std::chrono::milliseconds MinProbeAge{20};

  /** The load of the target beside this node. */
  using LoadSource = std::function<LoadReport()>;

  MeasureTask(NodeServices &services, PeerTask &peers, LoadSource source);

  /** Takes the rates of a new configuration. */
  void setRates(const MeasureRule &rule) { budget.setRates(rule); }

  /** Answers a probe or takes in a report. */
  void onMessage(const Message &message);

  /** A call has picked among these targets; one of them may be probed for the
   * next call. */
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
};

} // namespace plantainhatch

#endif
