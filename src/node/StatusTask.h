/** \file
 * Serves the status, events and metrics of a node to operators and their tools.
 */
#ifndef PLANTAINHATCH_NODE_STATUSTASK_H
#define PLANTAINHATCH_NODE_STATUSTASK_H

#include "connection/IncomingCall.h"
#include "node/ConfigurationTask.h"
#include "node/CrashTask.h"
#include "node/GateTask.h"
#include "node/MeasureTask.h"
#include "node/PeerTask.h"

#include <nlohmann/json_fwd.hpp>

namespace plantainhatch {

/** Serves read-only requests below PathPrefix. Use on the main loop only. */
class StatusTask {
public:
  /** Prefix of all paths of the load balancer itself. */
  static constexpr const char *PathPrefix = "/plantainhatch/v1/";

  StatusTask(NodeServices &services, PeerTask &peers,
             ConfigurationTask &configuration, MeasureTask &measure,
             CrashTask &crashes, GateTask &gate);

  /** Replies to a request for status, events or metrics. \pre The path starts
   * with PathPrefix. */
  void serve(const IncomingCallPtr &call);

  /** Makes the status show that the node stops. */
  void setStopping() { isStopping = true; }

private:
  NodeServices &services;
  PeerTask &peers;
  ConfigurationTask &configuration;
  MeasureTask &measure;
  CrashTask &crashes;
  GateTask &gate;
  bool isStopping = false;

  nlohmann::json makeStatus(bool hasMembers) const;
  nlohmann::json makeGate() const;
  nlohmann::json makeMembers() const;
  nlohmann::json makeQuarantine() const;
  nlohmann::json makeMeasure() const;
  std::string makeMetrics();
};

} // namespace plantainhatch

#endif
