/** \file
 * Accepts announcements of the target beside this node. */
#ifndef PLANTAINHATCH_NODE_ANNOUNCETASK_H
#define PLANTAINHATCH_NODE_ANNOUNCETASK_H

#include "connection/HttpServer.h"
#include "node/DepartureTask.h"
#include "node/GateTask.h"
#include "node/NodeServices.h"

#include <memory>

namespace plantainhatch {

/** Serves the targets address (NodeSettings::targets). Requests from other
 * hosts than this VM are rejected. Use on the main loop only. */
class AnnounceTask {
public:
  /** Binds the address and serves it. \return the task, or findings if the
   * address cannot be used. */
  static Checked<std::unique_ptr<AnnounceTask>>
  start(NodeServices &services, GateTask &gate, DepartureTask &departures);

private:
  NodeServices &services;
  GateTask &gate;
  DepartureTask &departures;
  std::unique_ptr<HttpServer> server;

  AnnounceTask(NodeServices &services, GateTask &gate,
               DepartureTask &departures)
      : services(services), gate(gate), departures(departures) {}

  void serve(const IncomingCallPtr &call);
  void announce(const IncomingCallPtr &call);
  /** Closes the gate if its target is known to have left. */
  void closeToDeparted();
  void leave(const IncomingCallPtr &call);
};

} // namespace plantainhatch

#endif
