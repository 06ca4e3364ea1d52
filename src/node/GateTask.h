/** \file
 * Dispatches calls to the local target. */
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
#include "process/NestedCalls.h"

#include <boost/intrusive/list.hpp>

#include <functional>
#include <set>
#include <string>

namespace plantainhatch {

/** Owns the gate and every exchange with the local target. Not thread-safe:
 * main loop only. */
class GateTask {
public:
  /** A target that has not renewed its announcement for this long is considered
   * lost. Site mode has a longer limit; see announcementTtl(). */
  static constexpr std::chrono::milliseconds AnnouncementTtl{3'000};
  /** Renewal interval that targets are told when they announce themselves. */
  static constexpr std::chrono::milliseconds RenewalInterval{1'000};

  /** \pre All arguments outlive the task. */
  GateTask(NodeServices &services, PeerTask &peers,
           ConfigurationTask &configuration, CrashTask &crashes);

  /** Sends a call to the target, queues it, or refuses it. \param receiver is
   * called once, possibly before this returns, unless the call is cancelled
   * first. \return the call. A queued call is abandoned when the last reference
   * to it is dropped. */
  GateCallPtr dispatch(DispatchRequest request, GateCall::Receiver receiver);

  /** Registers the target, or renews its registration. */
  void announce(const Target &target);
  /** Stops new calls to the target, because it is about to leave. \return
   * false, without effect, if \p bootId is not that of the current target. */
  bool leave(const std::string &bootId);
  /** Refuses all new calls from now on, because the node is stopping. */
  void stop();

  /** Called for each call that arrives at this node's ingress. If the target is
   * working on a call with the same request ID, the target has sent this one
   * and thus calls other services, which is published to the other nodes. */
  void onIngressCall(const std::string &requestId);

  /** What the target is working on. */
  TargetRuns runs() const { return {gate.inFlight(), repeatsInFlight.size()}; }

  /** Sets what is asked before the target gets a call that another one may have
   * run; the call is refused if \p check returns false. */
  void setRepeatCheck(std::function<bool()> check) {
    mayRepeat = std::move(check);
  }

  /** Limits the calls to the target to \p rateLimit until \p until, because it
   * is cold. */
  void setColdRateLimit(const ColdRateLimit &rateLimit, TimePoint until);

  /** Applies the load that the target has reported, in an answer to a call or
   * to a health check. */
  void updateLoad(const TargetLoad &load);

  /** Marks the target as lost until its next announcement. Does nothing if it
   * is absent already. \param why is recorded as the cause. */
  void markTargetLost(const std::string &why);

  /** Sets the callback for a load step, of which other nodes should learn at
   * once: a large change of the target's slowdown, or a change between cold and
   * warm by setColdRateLimit(). */
  void onLoadStep(std::function<void()> action) {
    loadStepCallback = std::move(action);
  }

  /** The target's current load, as reported to other nodes. */
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
  /** Calls in the gate's queue. Does not own them. */
  CallList waiting;
  CallId nextId = 1;
  bool isStopping = false;
  /** Request IDs of the calls that the target is working on. */
  std::multiset<std::string> idsInFlight;
  /** The calls that the target is working on and another one may have run. */
  std::set<CallId> repeatsInFlight;
  std::function<bool()> mayRepeat;
  /** True once this instance of the target was seen to call other services. */
  bool callsOtherServices = false;
  TimePoint announcedAt;
  Timer tickTimer;
  TargetConnectionWatcher connectionWatcher;
  std::function<void()> loadStepCallback;
  /** The slowdown at the last load step. */
  double publishedSlowdown = 1;

  void tick();
  /** Closes the gate to new calls if there is a reason to, or opens it. */
  void updateClosedReason();
  /** Why no call may be admitted at the moment; None if calls may be. */
  Refusal closedReason() const;
  void expireTarget();
  /** How long an announcement is valid. */
  Duration announcementTtl() const;
  /** Publishes the target through the membership. */
  void publishTarget();
  /** Records an event if the gate has cut its limit. */
  void recordLimitCut();
  /** Starts or refuses calls that have left the gate's queue. */
  void applyQueueResults(const std::vector<QueueResult> &results);
  /** Logs that a call left the queue without a slot, and counts it. */
  void recordTurnedAway(const GateCall &call, Refusal refusal);
  GateCall *findWaiting(CallId id);
  /** Marks a call as abandoned; it keeps its slot until finish(). */
  void giveUp(CallId id, GateOutcome outcome);
  /** Frees the slot of a call and admits queued calls. */
  void finish(CallId id, GateOutcome outcome);
};

} // namespace plantainhatch

#endif
