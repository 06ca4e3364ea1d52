/** \file
 * A complete node: constructs and connects its tasks, and runs them from start
 * to graceful stop. */
#ifndef PLANTAINHATCH_NODE_NODE_H
#define PLANTAINHATCH_NODE_NODE_H

#include "connection/HttpServer.h"
#include "node/AnnounceTask.h"
#include "node/ArchiveTask.h"
#include "node/DepartureTask.h"
#include "node/IngressTask.h"
#include "node/QuotaTask.h"
#include "node/SeedTask.h"
#include "node/StatusTask.h"

#include <functional>
#include <memory>

namespace plantainhatch {

/** What a platform integration may replace. The defaults are the native
 * interface. */
struct PlatformBindings {
  /** Header names and the classification of answers, for callers and targets.
   */
  CallProtocol callProtocol = makeNativeCallProtocol();
  /** Parses the texts of configuration versions. */
  ConfigurationReplica::Builder builder = ConfigurationReplica::buildRules;
  /** Where operators read how far roll-outs are; nothing if there are none. */
  std::optional<RolloutStatusFormat> rolloutStatus;
};

/** Owns all tasks of one process. Not thread-safe: use on the main loop only.
 */
class Node {
public:
  /** Minimum time that a stopping node keeps serving, so that other nodes learn
   * that it leaves. */
  static constexpr std::chrono::milliseconds MinDrainTime{1'500};
  /** The same in site mode, that is with NodeSettings::site, where callers
   * learn it from the readiness check: it runs once per second, and two
   * failures in a row take effect. */
  static constexpr std::chrono::milliseconds MinSiteDrainTime{2'600};
  /** A longer turn of the main loop is logged. */
  static constexpr std::chrono::milliseconds LongTurn{100};
  /** A node in site mode ends this long before the platform kills the process,
   * even with calls in progress. */
  static constexpr std::chrono::milliseconds StopMargin{300};

  /** Binds all addresses and starts the tasks. \return the node, or findings
   * that name what prevents the start. */
  static Checked<std::unique_ptr<Node>> start(NodeSettings settings,
                                              AnyPickPolicy policy,
                                              PlatformBindings bindings = {});

  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;
  Node(Node &&) = delete;
  Node &operator=(Node &&) = delete;

  /** True if the node accepts callers: a configuration version is in force and
   * stop() has not been called. */
  bool isReady() const;

  /** Access for a platform integration, which in site mode replaces the
   * announcements of targets, the head row and the status paths. The references
   * are valid for the lifetime of the node. */
  NodeServices &nodeServices() { return services; }
  GateTask &gateTask() { return *gate; }
  ConfigurationTask &configurationTask() { return *configuration; }
  PeerTask &peerTask() { return *peers; }
  DepartureTask &departureTask() { return *departures; }
  StatusTask &statusTask() { return *status; }

  /** Takes over what can change while the node runs. */
  void updateSettings(const NodeSettings &settings) {
    services.updateSettings(settings);
  }

  /** Stops gracefully: admits no new calls to its target, lets calls in
   * progress end, saves the events (not in site mode), and calls \p done once.
   * Later calls of this function have no effect. */
  void stop(std::function<void()> done);

private:
  NodeServices services;
  std::unique_ptr<PeerTask> peers;
  std::unique_ptr<DepartureTask> departures;
  std::unique_ptr<ConfigurationTask> configuration;
  std::unique_ptr<CrashTask> crashes;
  std::unique_ptr<GateTask> gate;
  std::unique_ptr<MeasureTask> measure;
  std::unique_ptr<QuotaTask> quotas;
  std::unique_ptr<RolloutTask> rollouts;
  std::unique_ptr<IngressTask> ingress;
  std::unique_ptr<StatusTask> status;
  std::unique_ptr<SeedTask> seeds;
  std::unique_ptr<ArchiveTask> archive;
  std::unique_ptr<AnnounceTask> announcements;
  std::unique_ptr<HttpServer> callers;
  /** Serves calls that other nodes forward, and the status paths; in site mode
   * only. */
  std::unique_ptr<HttpServer> forwards;
  Timer countTimer;
  Timer stopTimer;
  std::size_t callsInProgress = 0;
  TimePoint stopRequestedAt;
  std::function<void()> onStopped;

  Node(NodeSettings settings, CallProtocol callProtocol)
      : services(std::move(settings), std::move(callProtocol)) {}

  void makeTasks(AnyPickPolicy policy, PlatformBindings bindings);
  void startTasks();
  void connectTasks();
  Checked<bool> listen();
  /** True for a path on the callers address that belongs to the node. */
  bool isForNode(const CallRequest &request) const;
  void serve(const IncomingCallPtr &call);
  void serveForward(const IncomingCallPtr &call);
  bool isMinDrainTimeOver() const;
  void onTurnEnded(Duration turn);
  void continueStop();
};

} // namespace plantainhatch

#endif
