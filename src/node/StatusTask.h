/** \file
 * Answers what operators and their tools ask of a node. */
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

/** Serves status, events and metrics. Nothing here changes anything. */
class StatusTask {
public:
  /** All paths of the system itself start so. */
  static constexpr const char *PathPrefix = "/plantainhatch/v1/";

  StatusTask(NodeServices &services, PeerTask &peers,
             ConfigurationTask &configuration, MeasureTask &measure,
             CrashTask &crashes, GateTask &gate);

  /** \pre The call's path starts with PathPrefix. */
  void serve(const IncomingCallPtr &call);

  /** Set while the node stops. */
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
