/** \file
 * Finds requests that crash the targets which run them, and keeps them from
 * further targets. */
#ifndef PLANTAINHATCH_NODE_CRASHTASK_H
#define PLANTAINHATCH_NODE_CRASHTASK_H

#include "connection/Timer.h"
#include "node/ConfigurationTask.h"
#include "node/NodeServices.h"
#include "node/PeerTask.h"
#include "process/Gate.h"
#include "process/Quarantine.h"

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace plantainhatch {

/** Owns this node's quarantine. A crash is reported to every node of the
 * service, and the failure is passed on only after they have acknowledged the
 * report or a short time has passed, so that a caller who sends the request
 * again at once meets gates that know of it. */
class CrashTask {
public:
  /** How long a failure is held back for acknowledgements. */
  static constexpr std::chrono::milliseconds AckTimeout{1'000};
  /** Nodes that have not acknowledged a report are sent it again. */
  static constexpr std::chrono::milliseconds ResendInterval{100};
  /** How long a connection to the target may take before it counts as alive but
   * slow. */
  static constexpr std::chrono::seconds ConnectTimeout{1};
  /** The kernel may close the connections of a dying process before its
   * listening socket, so a target counts as alive only if it can be connected
   * to at all of these times after a failure. */
  static constexpr std::array<std::chrono::milliseconds, 3> ProbeOffsets{
      std::chrono::milliseconds(0), std::chrono::milliseconds(20),
      std::chrono::milliseconds(100)};
  /** A failure that was not found to be a crash is looked into once more after
   * this. */
  static constexpr std::chrono::milliseconds LateProbeDelay{300};
  /** A new start of the target this long after a failure shows that the failure
   * was a crash. */
  static constexpr std::chrono::seconds FailureRetention{10};

  /** How often a node asks others about what it has quarantined: a notice that
   * a request was answered in full may have been lost. */
  static constexpr std::chrono::seconds QueryInterval{2};
  /** Nodes that are asked each time. */
  static constexpr std::size_t QueryFanout = 3;
  /** Requests that are asked about each time. */
  static constexpr std::size_t MaxQueries = 8;

  /** Told whether the target has died. Called once. */
  using DeathCallback = std::function<void(bool didTargetDie)>;

  CrashTask(NodeServices &services, PeerTask &peers,
            const ConfigurationTask &configuration);

  /** An exchange with the target of \p gate failed after it was sent. \pre The
   * call that failed is still counted as in flight. */
  void onFailure(const Gate &gate, const std::string &bootId,
                 DeathCallback verdict);
  /** The target beside this node has started anew; \p oldBootId names its
   * former start. */
  void onTargetStarted(const std::string &oldBootId);
  /** A request was answered in full at this node. */
  void onAnsweredInFull(std::uint64_t fingerprint);
  /** Takes in a report or an acknowledgement of another node. */
  void onMessage(const Message &message);

  /** True if the request must not be handed to a target. */
  bool isQuarantined(std::uint64_t fingerprint) const;
  /** For status. */
  std::vector<Quarantine::Entry> list() const {
    return quarantine.list(NodeServices::now());
  }

private:
  /** One failure that is being looked into. */
  struct FailureCheck {
    std::string bootId;
    std::string service;
    Address target;
    std::vector<std::uint64_t> fingerprints;
    std::vector<DeathCallback> callbacks;
    TimePoint startedAt;
    /** Probes that have connected. */
    std::size_t connectedProbes = 0;
  };
  /** One report that is being spread. */
  struct ReportBroadcast {
    CrashReport report;
    std::set<Address> unacknowledged;
    std::vector<DeathCallback> callbacks;
    TimePoint deadline;
    Timer timer;
  };

  NodeServices &services;
  PeerTask &peers;
  const ConfigurationTask &configuration;
  Quarantine quarantine;
  std::unique_ptr<FailureCheck> activeCheck;
  /** The newest failure that was not found to be a crash. */
  std::unique_ptr<FailureCheck> dismissedCheck;
  std::map<std::uint64_t, std::unique_ptr<ReportBroadcast>> broadcasts;
  std::uint64_t nextSequence = 1;
  Timer expiryTimer;
  Timer queryTimer;
  Timer probeTimer;
  Timer lateProbeTimer;
  std::shared_ptr<CrashTask *> alive = std::make_shared<CrashTask *>(this);

  void probeTarget(const FailureCheck &subject);
  void onProbeResult(const std::string &bootId, bool isRefused);
  void dismissCheck();
  void reportCrash(std::unique_ptr<FailureCheck> crash);
  void applyCrashReport(const CrashReport &report);
  void queryQuarantine();
  void onCrashQuery(const CrashQuery &review, const Address &sender);
  void onCleared(std::uint64_t fingerprint, const std::string &cause);
  void onAck(const Address &sender, std::uint64_t sequence);
  void resendReport(std::uint64_t sequence);
  void finishBroadcast(std::uint64_t sequence);
};

} // namespace plantainhatch

#endif
