/** \file
 * Accepts calls from callers and picks targets for them. */
#ifndef PLANTAINHATCH_NODE_INGRESSTASK_H
#define PLANTAINHATCH_NODE_INGRESSTASK_H

#include "connection/IncomingCall.h"
#include "node/ConfigurationTask.h"
#include "node/CrashTask.h"
#include "node/GateTask.h"
#include "node/MeasureTask.h"
#include "node/PeerTask.h"
#include "node/QuotaTask.h"
#include "node/RolloutTask.h"
#include "process/NestedCalls.h"
#include "request/LatencyWindow.h"
#include "request/PickPolicy.h"
#include "request/RetryBudget.h"
#include "request/WeightedRoundRobin.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace plantainhatch {

/** Per-rule state of an ingress. */
struct RuleState {
  /** Recent latencies until the head of the answer, from which the hedging
   * delay is derived. */
  LatencyWindow latencies;
  /** Position in the rule's traffic split. */
  WeightedRoundRobin trafficSplit;
};

/** Result of IngressTask::pick(). */
struct PickedTarget {
  Candidate candidate;
  /** True if all candidates are known to have neither a free slot nor room in
   * the queue. */
  bool areAllSaturated = false;
};

/** Owns the pick policy, the per-rule state and the retry budgets. Each call is
 * served by an IngressCall. Not thread-safe: main loop only. */
class IngressTask {
public:
  /** \pre All tasks outlive this one. */
  IngressTask(NodeServices &services, PeerTask &peers,
              ConfigurationTask &configuration, MeasureTask &measure,
              CrashTask &crashes, GateTask &gate, QuotaTask &quotas,
              RolloutTask &rollouts, AnyPickPolicy policy);

  /** Serves a call from a caller. \param onDone is called exactly once, when
   * the call has ended; possibly before serve() returns. */
  void serve(const IncomingCallPtr &incoming, std::function<void()> onDone);

  /** The host that a request names, without a port. */
  static std::string hostOf(const CallRequest &request);

  /** True if the request may run at the same time as others that were sent with
   * it: by the configuration in force it may run more than once, and needs no
   * claim. */
  bool mayRunBeside(const CallRequest &request) const;

  /** Picks the next target for a call, and may probe another candidate.
   * \return nothing if all candidates of \p service are in \p tried or taken
   * out of service by the configuration. */
  std::optional<PickedTarget> pick(const Configuration &configuration,
                                   const std::string &service,
                                   const std::set<Address> &tried);

  /** The state of the rule with this name, created on first use. */
  RuleState &stateOf(const std::string &rule) { return states[rule]; }

  /** The service's budget of retries and hedges, resized to this node's current
   * share. */
  RetryBudget &budgetOf(const std::string &service);

  /** Charges the budget of \p service with a call that has come, as far as the
   * local target made it while it ran a call again. */
  void chargeNested(const std::string &rule, const std::string &service);

  /** True if the calls of \p rule are made by the local target. */
  bool isNested(const std::string &rule) const {
    return nestedCalls.isNested(rule);
  }

  /** The service that receives the next call of a rule: the next one of its
   * traffic split, or the rule's own name if it has none. */
  std::string chooseService(const ServiceRule &rule);

  NodeServices &services;
  PeerTask &peers;
  ConfigurationTask &configuration;
  MeasureTask &measure;
  CrashTask &crashes;
  GateTask &gate;
  QuotaTask &quotas;
  RolloutTask &rollouts;

private:
  AnyPickPolicy policy;
  std::map<std::string, RuleState> states;
  std::map<std::string, RetryBudget> budgets;
  NestedCalls nestedCalls;

  /** True if the local target may run a call again, with the calls that it
   * makes. */
  bool mayRepeat();

  /** Probes the load of a random candidate other than the picked one, within
   * the measurement budget. */
  void probeRandomCandidate(const std::vector<Candidate> &candidates,
                            std::size_t pickedIndex);
};

} // namespace plantainhatch

#endif
