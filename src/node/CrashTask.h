/** \file
 * Detects requests that crash the targets which run them, and keeps such
 * requests from other targets. */
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
 * service. The failure of the call is passed on only after all of them have
 * acknowledged the report or AckTimeout has passed, so that a caller who
 * retries at once reaches gates that know of the crash. Not thread-safe: main
 * loop only. */
class CrashTask {
public:
  /** The longest that a failure is held back for acknowledgements. */
  static constexpr std::chrono::milliseconds AckTimeout{1'000};
  /** Interval at which a report is resent to nodes that have not acknowledged
   * it. */
  static constexpr std::chrono::milliseconds ResendInterval{100};
  /** Timeout of a probe's connection; a target that does not accept within it
   * counts as alive but slow. */
  static constexpr std::chrono::seconds ConnectTimeout{1};
  /** Offsets from the failure at which the target is probed. The kernel may
   * close the connections of a dying process before its listening socket, so a
   * target counts as alive only if none of these probes is refused. */
  static constexpr std::array<std::chrono::milliseconds, 3> ProbeOffsets{
      std::chrono::milliseconds(0), std::chrono::milliseconds(20),
      std::chrono::milliseconds(100)};
  /** Delay of one more probe after a failure was not found to be a crash. */
  static constexpr std::chrono::milliseconds LateProbeDelay{300};
  /** A new instance of the target within this time of a failure shows that the
   * failure was a crash. */
  static constexpr std::chrono::seconds FailureRetention{10};

  /** Interval at which a node asks others whether its quarantined requests were
   * answered in full, because the CrashCleared message may have been lost. */
  static constexpr std::chrono::seconds QueryInterval{2};
  /** Nodes asked in each round. */
  static constexpr std::size_t QueryFanout = 3;
  /** Quarantined requests asked about in each round. */
  static constexpr std::size_t MaxQueries = 8;

  /** Called once. \param didTargetCrash is true if the target has crashed. */
  using CrashCallback = std::function<void(bool didTargetCrash)>;

  /** \pre All arguments outlive the task. */
  CrashTask(NodeServices &services, PeerTask &peers,
            const ConfigurationTask &configuration);

  /** Checks whether the target of \p gate has crashed, after a call that was
   * sent to it has failed. \param bootId is that of the instance that got the
   * call. \param callback is called once, possibly before this returns; with
   * false, without a check, while another instance is being checked. \pre
   * The failed call is still counted as in flight at \p gate. */
  void onFailure(const Gate &gate, const std::string &bootId,
                 CrashCallback callback);
  /** A new instance of the local target has started. \param oldBootId
   * identifies the previous one. */
  void onTargetStarted(const std::string &oldBootId);
  /** The local target has answered a request in full, which clears it of
   * suspicion. The other nodes of the service are told if it was suspected. */
  void onRequestCompleted(std::uint64_t fingerprint);
  /** Handles the crash messages of other nodes; ignores all others. */
  void onMessage(const Message &message);

  /** True if the request is quarantined and the configuration does not allow
   * it, so that it must not be dispatched to any target. */
  bool isQuarantined(std::uint64_t fingerprint) const;
  /** Suspected and quarantined requests, for status. */
  std::vector<Quarantine::Entry> list() const {
    return quarantine.list(NodeServices::now());
  }

private:
  /** A failure that is checked for a crash of the target. */
  struct FailureCheck {
    std::string bootId;
    std::string service;
    Address target;
    /** Fingerprints of the calls that were in flight. */
    std::vector<std::uint64_t> fingerprints;
    std::vector<CrashCallback> callbacks;
    TimePoint startedAt;
    /** Probes that were not refused. */
    std::size_t unrefusedProbes = 0;
  };
  /** A crash report that is resent until all receivers have acknowledged it or
   * the deadline has passed. */
  struct ReportBroadcast {
    CrashReport report;
    /** Nodes that have not acknowledged the report yet. */
    std::set<Address> unacknowledged;
    std::vector<CrashCallback> callbacks;
    TimePoint deadline;
    Timer timer;
  };

  NodeServices &services;
  PeerTask &peers;
  const ConfigurationTask &configuration;
  Quarantine quarantine;
  /** The failure that is being checked, if any. */
  std::unique_ptr<FailureCheck> activeCheck;
  /** The last failure that was not found to be a crash, if any. */
  std::unique_ptr<FailureCheck> dismissedCheck;
  /** By the sequence number of the report. */
  std::map<std::uint64_t, std::unique_ptr<ReportBroadcast>> broadcasts;
  std::uint64_t nextSequence = 1;
  Timer expiryTimer;
  Timer queryTimer;
  Timer probeTimer;
  Timer lateProbeTimer;
  /** Expires with this task, so that pending probe callbacks do nothing. */
  std::shared_ptr<CrashTask *> alive = std::make_shared<CrashTask *>(this);

  void probeTarget(const FailureCheck &check);
  void onProbeResult(const std::string &bootId, bool isRefused);
  /** Ends the current check without a crash. */
  void dismissCheck();
  /** Adds the crash to this node's quarantine and reports it to the other nodes
   * of the service. */
  void reportCrash(std::unique_ptr<FailureCheck> crash);
  /** Adds a crash to the quarantine. */
  void applyCrashReport(const CrashReport &report);
  /** Asks other nodes about quarantined requests. */
  void queryQuarantine();
  void onCrashQuery(const CrashQuery &query, const Address &sender);
  void onCleared(std::uint64_t fingerprint, const std::string &cause);
  void onAck(const Address &sender, std::uint64_t sequence);
  void resendReport(std::uint64_t sequence);
  /** Passes on the failures that were held back for the report. */
  void finishBroadcast(std::uint64_t sequence);
};

} // namespace plantainhatch

#endif
