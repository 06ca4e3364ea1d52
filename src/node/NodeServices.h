/** \file
 * Clocks, clients, logs and metrics that the tasks of a node share. */
#ifndef PLANTAINHATCH_NODE_NODESERVICES_H
#define PLANTAINHATCH_NODE_NODESERVICES_H

#include "base/HybridClock.h"
#include "base/Settings.h"
#include "base/SettingsUpdate.h"
#include "connection/HttpSession.h"
#include "connection/MessageCodec.h"
#include "connection/Timer.h"
#include "platform/StoreClient.h"
#include "process/DecisionLog.h"
#include "process/EventLog.h"
#include "process/Metrics.h"
#include "request/CallProtocol.h"
#include "request/RetryBudget.h"

#include <memory>
#include <random>
#include <string>

namespace plantainhatch {

/** Services of one node, which outlive all its tasks. Not thread-safe: use on
 * the main loop only. */
class NodeServices {
  NodeSettings currentSettings;

public:
  NodeServices(NodeSettings nodeSettings, CallProtocol nodeCallProtocol);

  ~NodeServices();
  NodeServices(const NodeServices &) = delete;
  NodeServices &operator=(const NodeServices &) = delete;
  NodeServices(NodeServices &&) = delete;
  NodeServices &operator=(NodeServices &&) = delete;

  /** The settings in force. Read them anew for each use, as they change while
   * the node runs. */
  const NodeSettings &settings = currentSettings;
  /** Header names and the classification of answers, for callers and targets.
   */
  const CallProtocol callProtocol;
  const MessageCodec codec;
  /** HTTP client for other nodes and targets. */
  const std::unique_ptr<HttpSession> session;
  StoreClient storeClient;
  EventLog events;
  Metrics metrics;
  std::mt19937_64 random;

  /** Takes over those of \p next that can change while the node runs, and logs
   * which these are and which have to wait for the next start. */
  void updateSettings(const NodeSettings &next);

  /** The time of the monotonic clock. */
  static TimePoint now() { return std::chrono::steady_clock::now(); }
  /** The time of the wall clock. */
  static WallTime wallNow();
  /** A hybrid timestamp for an event or an outgoing message. */
  HybridTime stamp() { return clock.stamp(wallNow()); }
  /** Advances the hybrid clock to the timestamp of a received message. */
  void observe(HybridTime time) { clock.observe(time, wallNow()); }

  /** Adds an event to the event log, and writes it to the process log or, in
   * site mode, to the decision log. */
  void record(EventKind kind, std::string subject, std::string detail,
              std::string cause);

  /** Queues one line of the decision log, which goes to standard output. Has no
   * effect outside site mode. */
  void logDecision(DecisionKind kind, const DecisionFields &fields);

  /** A random UUID. */
  std::string makeId();

  /** This node's share of the retry budget that \p nodes nodes have together
   * for \p service; the default share outside site mode. */
  RetryShare retryShare(const std::string &service, std::size_t nodes) const;

  /** The platform's name of this cluster's table \p name. */
  std::string tableName(const std::string &name) const {
    return settings.cluster + "-" + name;
  }

private:
  DecisionLog decisions;
  Timer decisionTimer;
  HybridClock clock;

  void writeDecisions();
};

/** Adds the CPU time of the current thread from construction to destruction to
 * control_cpu_nanoseconds_total, the cost of control work such as membership
 * and configuration. Scopes must not nest, as the time would count twice. */
class ScopedControlCpuTimer {
public:
  explicit ScopedControlCpuTimer(Metrics &metrics);
  ~ScopedControlCpuTimer();
  ScopedControlCpuTimer(const ScopedControlCpuTimer &) = delete;
  ScopedControlCpuTimer &operator=(const ScopedControlCpuTimer &) = delete;
  ScopedControlCpuTimer(ScopedControlCpuTimer &&) = delete;
  ScopedControlCpuTimer &operator=(ScopedControlCpuTimer &&) = delete;

private:
  Metrics &metrics;
  std::chrono::nanoseconds startedAt;
};

} // namespace plantainhatch

#endif
