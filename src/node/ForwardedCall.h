/** \file
 * Serves a call that another node has forwarded to the gate here. */
#ifndef PLANTAINHATCH_NODE_FORWARDEDCALL_H
#define PLANTAINHATCH_NODE_FORWARDEDCALL_H

#include "connection/IncomingCall.h"
#include "node/GateTask.h"
#include "node/NodeServices.h"

namespace plantainhatch {

/** True if the call claims to come from a node. */
bool isForwarded(const CallRequest &request);

/** Checks the proof, asks the gate, and relays the target's answer or says why
 * there is none. \param onDone is called once when the call has ended. */
void serveForwardedCall(NodeServices &services, GateTask &gate,
                        const IncomingCallPtr &incoming,
                        std::function<void()> onDone);

} // namespace plantainhatch

#endif
