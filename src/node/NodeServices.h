/** \file
 * What all tasks of a node share. */
#ifndef PLANTAINHATCH_NODE_NODESERVICES_H
#define PLANTAINHATCH_NODE_NODESERVICES_H

#include "base/HybridClock.h"
#include "base/Settings.h"
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

/** Clocks, records and clients of one node. It outlives all tasks. Used on the
 * main loop only. */
class NodeServices {
public:
  NodeServices(NodeSettings nodeSettings, CallProtocol dialect);

  ~NodeServices();
  NodeServices(const NodeServices &) = delete;
  NodeServices &operator=(const NodeServices &) = delete;
  NodeServices(NodeServices &&) = delete;
  NodeServices &operator=(NodeServices &&) = delete;

  const NodeSettings settings;
  /** How callers and targets are spoken with. */
  const CallProtocol callProtocol;
  const MessageCodec codec;
  /** Nodes and targets. */
  const std::unique_ptr<HttpSession> session;
  StoreClient storeClient;
  EventLog events;
  Metrics metrics;
  std::mt19937_64 random;

  /** The monotonic clock. */
  static TimePoint now() { return std::chrono::steady_clock::now(); }
  /** The wall clock. */
  static WallTime wallNow();
  /** A stamp for a message that is about to leave. */
  HybridTime stamp() { return clock.stamp(wallNow()); }
  /** Takes in the stamp of a message. */
  void observe(HybridTime time) { clock.observe(time, wallNow()); }

  /** Records and logs an event. */
  void record(EventKind kind, std::string subject, std::string detail,
              std::string cause);

  /** Writes one line about a decision, at a site only. */
  void logDecision(DecisionKind kind, const DecisionFields &fields);

  /** A random identifier. */
  std::string makeId();

  /** What this node may add to the calls of a service, one of \p nodes. */
  RetryShare retryShare(std::size_t nodes) const;

  /** The name of a table of this cluster. */
  std::string tableName(const std::string &name) const {
    return settings.cluster + "-" + name;
  }

private:
  DecisionLog decisions;
  Timer decisionTimer;
  HybridClock clock;

  void writeDecisions();
};

/** Meters the processor time of what the fleet's control costs, from
 * construction to destruction. Scopes must not nest. */
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
