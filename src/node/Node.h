/** \file
 * A whole node: its tasks, wired together, from start to graceful stop. */
#ifndef PLANTAINHATCH_NODE_NODE_H
#define PLANTAINHATCH_NODE_NODE_H

#include "connection/HttpServer.h"
#include "node/AnnounceTask.h"
#include "node/ArchiveTask.h"
#include "node/IngressTask.h"
#include "node/SeedTask.h"
#include "node/StatusTask.h"

#include <functional>
#include <memory>

namespace plantainhatch {

/** What differs where a platform has an interface of its own. */
struct PlatformBindings {
  CallProtocol callProtocol = makeNativeCallProtocol();
  /** Reads the texts of configuration versions. */
  ConfigurationReplica::Builder builder = Configuration::build;
};

/** Owns all tasks of one process. Used on the main loop only. */
class Node {
public:
  /** How long a stopping node goes on at least, so that others have heard that
   * it leaves. */
  static constexpr std::chrono::milliseconds MinDrainTime{1'500};
  /** The same at a site whose callers are told by readiness, which is asked
   * once a second and believed at the second refusal. */
  static constexpr std::chrono::milliseconds MinSiteDrainTime{2'600};
  /** Kept back from the time until the platform ends the process. */
  static constexpr std::chrono::milliseconds StopMargin{300};

  /** Opens all addresses and starts. \return the node, or what keeps it from
   * starting. */
  static Checked<std::unique_ptr<Node>> start(NodeSettings settings,
                                              AnyPickPolicy policy,
                                              PlatformBindings surface = {});

  /** True if callers are welcome: a configuration is in force, and the node
   * does not stop. */
  bool isReady() const;

  /** For what drives the node at a site in place of announcements, head row and
   * status. They live as long as the node. */
  NodeServices &nodeServices() { return services; }
  GateTask &gateTask() { return *gate; }
  ConfigurationTask &configurationTask() { return *configuration; }
  StatusTask &statusTask() { return *status; }

  /** Stops gracefully: takes no new work for its target, finishes what is in
   * progress, saves its events, and calls \p done. */
  void stop(std::function<void()> done);

private:
  NodeServices services;
  std::unique_ptr<PeerTask> peers;
  std::unique_ptr<ConfigurationTask> configuration;
  std::unique_ptr<CrashTask> crashes;
  std::unique_ptr<GateTask> gate;
  std::unique_ptr<MeasureTask> measure;
  std::unique_ptr<IngressTask> ingress;
  std::unique_ptr<StatusTask> status;
  std::unique_ptr<SeedTask> seeds;
  std::unique_ptr<ArchiveTask> archive;
  std::unique_ptr<AnnounceTask> announcements;
  std::unique_ptr<HttpServer> callers;
  /** Calls that other nodes forward, where they have an address of their own.
   */
  std::unique_ptr<HttpServer> forwards;
  Timer countTimer;
  Timer stopTimer;
  std::size_t callsInProgress = 0;
  TimePoint stopRequestedAt;
  std::function<void()> onStopped;

  Node(NodeSettings settings, CallProtocol dialect)
      : services(std::move(settings), std::move(dialect)) {}

  void makeTasks(AnyPickPolicy policy, ConfigurationReplica::Builder builder);
  void startTasks();
  void connectTasks();
  Checked<bool> listen();
  void serve(const IncomingCallPtr &call);
  void serveForward(const IncomingCallPtr &call);
  void broadcastLoad();
  bool isMinDrainTimeOver() const;
  void continueStop();
};

} // namespace plantainhatch

#endif
