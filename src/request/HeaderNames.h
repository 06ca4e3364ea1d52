/** \file
 * Names of the headers that the system reads or writes. */
#ifndef PLANTAINHATCH_REQUEST_HEADERNAMES_H
#define PLANTAINHATCH_REQUEST_HEADERNAMES_H

namespace plantainhatch::headers {

/** On answers that the system makes: "not-run" or "unknown". */
inline constexpr const char *Outcome = "Plantainhatch-Outcome";
/** The time that is left for a call, in milliseconds. */
inline constexpr const char *TimeoutMs = "Plantainhatch-Timeout-Ms";
/** Identifies a request on its whole way. */
inline constexpr const char *RequestId = "X-Request-Id";
/** When to try again, in seconds. */
inline constexpr const char *RetryAfter = "Retry-After";

/** Between nodes only; removed from what callers send. The prefix of all of
 * them. */
inline constexpr const char *InternalPrefix = "Plantainhatch-Node-";
/** The proof that a call was forwarded by a node. */
inline constexpr const char *Proof = "Plantainhatch-Node-Proof";
/** The service that the ingress meant. */
inline constexpr const char *Service = "Plantainhatch-Node-Service";
/** "1" if the call may wait in the gate's queue. */
inline constexpr const char *MayQueue = "Plantainhatch-Node-May-Queue";
/** "1" if the call goes out on a connection that no other call has used. */
inline constexpr const char *FreshConnection = "Plantainhatch-Node-Fresh";

/** The rank in the gate's queue; 0 goes first. */
inline constexpr const char *Priority = "Plantainhatch-Node-Priority";

/** The request's identifier and the time that is left for it, whatever callers
 * and targets name them. */
inline constexpr const char *NodeRequestId = "Plantainhatch-Node-Request-Id";
inline constexpr const char *NodeTimeoutMs = "Plantainhatch-Node-Timeout-Ms";

/** The sender's configuration version. */
inline constexpr const char *Version = "Plantainhatch-Node-Version";
/** The sender's hybrid time. */
inline constexpr const char *Time = "Plantainhatch-Node-Time";
/** On answers: "inFlight limit latencyUs" of the gate. */
inline constexpr const char *Load = "Plantainhatch-Node-Load";
/** On answers: why the gate refused, or "failed". Absent on the target's own
 * answers. */
inline constexpr const char *Reason = "Plantainhatch-Node-Reason";

} // namespace plantainhatch::headers

#endif
