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

/** Owns all tasks of one process. Used on the main loop only. */
class Node {
public:
  /** How long a stopping node goes on at least, so that others have heard that
   * it leaves. */
  static constexpr std::chrono::milliseconds SettleTime{1'500};

  /** Opens all addresses and starts. \return the node, or what keeps it from
   * starting. */
  static Checked<std::unique_ptr<Node>> start(NodeSettings settings,
                                              AnyPickPolicy policy);

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
  Timer countTimer;
  Timer stopTimer;
  std::size_t callsInProgress = 0;
  TimePoint stopRequestedAt;
  std::function<void()> stopped;

  explicit Node(NodeSettings settings) : services(std::move(settings)) {}

  void makeTasks(AnyPickPolicy policy);
  void connectTasks();
  Checked<bool> listen();
  void serve(const IncomingCallPtr &call);
  void continueStop();
};

} // namespace plantainhatch

#endif
