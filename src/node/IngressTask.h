/** \file
 * Takes calls from callers and finds targets for them. */
#ifndef PLANTAINHATCH_NODE_INGRESSTASK_H
#define PLANTAINHATCH_NODE_INGRESSTASK_H

#include "connection/IncomingCall.h"
#include "node/ConfigurationTask.h"
#include "node/CrashTask.h"
#include "node/GateTask.h"
#include "node/MeasureTask.h"
#include "node/PeerTask.h"
#include "request/LatencyWindow.h"
#include "request/PickPolicy.h"
#include "request/RetryBudget.h"
#include "request/WeightedRoundRobin.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace plantainhatch {

/** What an ingress keeps for one rule. */
struct RuleState {
  LatencyWindow latencies;
  WeightedRoundRobin trafficSplit;
};

/** A target that was picked. */
struct PickedTarget {
  Candidate candidate;
  /** True if all that could be picked are known to have no place left. */
  bool areAllSaturated = false;
};

/** Owns the policy and what is learned about services; each call is an
 * IngressCall. */
class IngressTask {
public:
  IngressTask(NodeServices &services, PeerTask &peers,
              ConfigurationTask &configuration, MeasureTask &measure,
              CrashTask &crashes, GateTask &gate, AnyPickPolicy policy);

  /** Serves a call of a caller. \param onDone is called once when it has ended.
   */
  void serve(const IncomingCallPtr &incoming, std::function<void()> onDone);

  /** The next target for a call, or nothing. */
  std::optional<PickedTarget> pick(const Configuration &configuration,
                                   const std::string &service,
                                   const std::set<Address> &tried);

  RuleState &stateOf(const std::string &rule) { return states[rule]; }

  /** The budget of repeats at a service. */
  RetryBudget &budgetOf(const std::string &service);

  /** The part of a rule whose turn it is. */
  std::string chooseService(const ServiceRule &rule);

  NodeServices &services;
  PeerTask &peers;
  ConfigurationTask &configuration;
  MeasureTask &measure;
  CrashTask &crashes;
  GateTask &gate;

private:
  AnyPickPolicy policy;
  std::map<std::string, RuleState> states;
  std::map<std::string, RetryBudget> budgets;

  void probeRandomCandidate(const std::vector<Candidate> &choices,
                            std::size_t picked);
};

} // namespace plantainhatch

#endif
