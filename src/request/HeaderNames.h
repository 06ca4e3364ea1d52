/** \file
 * Names of the HTTP headers that the system reads or sets. */
#ifndef PLANTAINHATCH_REQUEST_HEADERNAMES_H
#define PLANTAINHATCH_REQUEST_HEADERNAMES_H

namespace plantainhatch::headers {

/** On answers that the system makes itself: "not-run" or "unknown". */
inline constexpr const char *Outcome = "Plantainhatch-Outcome";
/** The time left for the call, in milliseconds. */
inline constexpr const char *TimeoutMs = "Plantainhatch-Timeout-Ms";
/** The request id; the same on all hops. */
inline constexpr const char *RequestId = "X-Request-Id";
/** The delay before the caller may retry, in seconds. */
inline constexpr const char *RetryAfter = "Retry-After";

/** The key of the caller's team; not passed on where there are teams. */
inline constexpr const char *Authorization = "Authorization";
/** The name of the caller's team, set by the system. */
inline constexpr const char *Team = "Plantainhatch-Team";
/** On answers with status 401, how to authenticate. */
inline constexpr const char *Authenticate = "WWW-Authenticate";

/** Prefix of the headers used between nodes only. They are removed from
 * callers' requests and from targets' answers. */
inline constexpr const char *InternalPrefix = "Plantainhatch-Node-";
/** Signature of a forwarded call, see makeForwardProof(). */
inline constexpr const char *Proof = "Plantainhatch-Node-Proof";
/** The service that the ingress selected for the call. */
inline constexpr const char *Service = "Plantainhatch-Node-Service";
/** "1" if the call may wait in the gate's queue. */
inline constexpr const char *MayQueue = "Plantainhatch-Node-May-Queue";
/** "1" if the gate must send the call on a new connection to the target. */
inline constexpr const char *FreshConnection = "Plantainhatch-Node-Fresh";

/** The priority in the gate's queue; 0 is served first. */
inline constexpr const char *Priority = "Plantainhatch-Node-Priority";

/** "1" if another target may have run the call. */
inline constexpr const char *Repeat = "Plantainhatch-Node-Repeat";

/** The longest wait in the queue of a cold target, in milliseconds; absent if
 * it is not limited. */
inline constexpr const char *MaxColdWaitMs = "Plantainhatch-Node-Max-Cold-Wait";

/** The time left until callers expect the answer, in milliseconds, negative if
 * it has passed; absent if that is not known. */
inline constexpr const char *DueMs = "Plantainhatch-Node-Due-Ms";
/** "1" if a target makes the call during a run. */
inline constexpr const char *Nested = "Plantainhatch-Node-Nested";
/** Tells the calls of one rule from those of others. */
inline constexpr const char *Kind = "Plantainhatch-Node-Kind";

/** The request id and the time left in milliseconds, between nodes; callers and
 * targets may use other header names for them, see CallProtocol. */
inline constexpr const char *NodeRequestId = "Plantainhatch-Node-Request-Id";
inline constexpr const char *NodeTimeoutMs = "Plantainhatch-Node-Timeout-Ms";

/** The configuration version of the sender. */
inline constexpr const char *Version = "Plantainhatch-Node-Version";
/** The HybridTime of the sender. */
inline constexpr const char *Time = "Plantainhatch-Node-Time";
/** On answers: the gate's load, "inFlight limit latencyUs slowdownPercent
 * isCold failurePercent". */
inline constexpr const char *Load = "Plantainhatch-Node-Load";
/** On answers that the gate makes itself: why the call was refused or failed.
 * Absent on answers of the target. */
inline constexpr const char *Reason = "Plantainhatch-Node-Reason";

} // namespace plantainhatch::headers

#endif
