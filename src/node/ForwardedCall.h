/** \file
 * Serves calls that other nodes forward to the local gate. */
#ifndef PLANTAINHATCH_NODE_FORWARDEDCALL_H
#define PLANTAINHATCH_NODE_FORWARDEDCALL_H

#include "connection/IncomingCall.h"
#include "node/GateTask.h"
#include "node/NodeServices.h"

namespace plantainhatch {

/** True if the call carries a forward proof. Does not verify it. */
bool isForwarded(const CallRequest &request);

/** Verifies the proof, dispatches the call to the local target, and relays its
 * answer, or the reason why there is none. \param onDone is called once, when
 * the call has ended; possibly before this returns. \pre \p services and \p
 * gate outlive the call. Not thread-safe: main loop only. */
void serveForwardedCall(NodeServices &services, GateTask &gate,
                        const IncomingCallPtr &incoming,
                        std::function<void()> onDone);

} // namespace plantainhatch

#endif
