/** \file
 * Hands calls to the target beside this node. */
#ifndef PLANTAINHATCH_NODE_GATETASK_H
#define PLANTAINHATCH_NODE_GATETASK_H

#include "connection/Timer.h"
#include "node/ConfigurationTask.h"
#include "node/CrashTask.h"
#include "node/GateCall.h"
#include "node/NodeServices.h"
#include "node/PeerTask.h"
#include "node/TargetConnectionWatcher.h"
#include "process/Gate.h"

#include <boost/intrusive/list.hpp>

#include <functional>
#include <set>
#include <string>

namespace plantainhatch {

/** Owns the gate and every exchange with the target. */
class GateTask {
public:
  /** A target that has not announced itself for this long is taken to be gone.
   */
  static constexpr std::chrono::milliseconds AnnouncementTtl{3'000};
  /** What targets are told to renew within. */
  static constexpr std::chrono::milliseconds RenewalInterval{1'000};

  GateTask(NodeServices &services, PeerTask &peers,
           ConfigurationTask &configuration, CrashTask &crashes);

  /** Hands a call to the target, now or after a wait, or refuses it. \p
   * receiver is called once, unless the call is cancelled before. */
  GateCallPtr dispatch(DispatchRequest request, GateCall::Receiver receiver);

  /** The target has announced itself. */
  void announce(const Target &target);
  /** The target leaves. \return false if another start of it is meant. */
  bool leave(const std::string &bootId);
  /** No new work from now on, as this node stops. */
  void stop();

  /** A call with this identifier has come to the ingress beside this gate. If
   * the target is at work on a call with the same one, the target is what sent
   * it. */
  void onIngressCall(const std::string &requestId);

  /** The target bears no more than \p allowance until \p until. */
  void setCold(const ColdRateLimit &allowance, TimePoint until);

  /** The target has told its load, on an answer or when it was asked. */
  void updateLoad(const TargetLoad &load);

  /** The target does not answer where it listened. */
  void markTargetLost(const std::string &why);

  /** Calls \p action when the target became slower or faster by much, as other
   * nodes should hear of that at once. */
  void onLoadStep(std::function<void()> action) {
    loadStepCallback = std::move(action);
  }

  /** The load for reports to other nodes. */
  LoadReport load() const;
  const Gate &state() const { return gate; }

private:
  friend class GateCall;
  using CallList =
      boost::intrusive::list<GateCall,
                             boost::intrusive::constant_time_size<false>>;

  NodeServices &services;
  PeerTask &peers;
  ConfigurationTask &configuration;
  CrashTask &crashes;
  Gate gate;
  /** Calls that wait for admission. */
  CallList waiting;
  CallId nextId = 1;
  bool isStopping = false;
  /** Identifiers of the calls that the target is at work on. */
  std::multiset<std::string> idsInFlight;
  bool callsOthers = false;
  TimePoint announcedAt;
  Timer tickTimer;
  TargetConnectionWatcher connectionWatcher;
  std::function<void()> loadStepCallback;
  double publishedSlowdown = 1;

  void tick();
  void updateClosedReason();
  Refusal closedReason() const;
  void expireTarget();
  Duration announcementTtl() const;
  void publishTarget();
  void recordLimitCut();
  void applyQueueResults(const std::vector<QueueResult> &results);
  GateCall *findWaiting(CallId id);
  void giveUp(CallId id, GateOutcome outcome);
  void finish(CallId id, GateOutcome outcome);
};

} // namespace plantainhatch

#endif
