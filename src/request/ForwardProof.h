/** \file
 * The proof that a call was forwarded by a node of the fleet: a signature
 * with the cluster's key. */
#ifndef PLANTAINHATCH_REQUEST_FORWARDPROOF_H
#define PLANTAINHATCH_REQUEST_FORWARDPROOF_H

#include "base/HybridClock.h"
#include "request/CallRequest.h"

#include <string>
#include <string_view>

namespace plantainhatch {

/** The signed fields besides those of the request. */
struct ForwardProofFields {
  /** Value of headers::Service. */
  std::string service;
  /** When the call was signed. */
  HybridTime time;
  /** Value of headers::NodeTimeoutMs. */
  std::string timeoutMs;
  /** The address at which the receiving gate accepts forwarded calls. Signed so
   * that the signature is not valid at another gate. */
  std::string gate;
};

/** A signature whose time differs from the gate's clock by more than this is
 * rejected, which limits the replay of recorded signatures. */
inline constexpr std::chrono::seconds MaxProofAge{30};

/** Signs \p request with \p key, the cluster's secret.
 * \return HMAC-SHA-256 in hexadecimal. It covers \p proofFields and the id,
 * method, target and body of \p request, but not its headers. The body is
 * covered by stableHash(), which is not collision-resistant. Pure. */
std::string makeForwardProof(std::string_view key, const CallRequest &request,
                             const ForwardProofFields &proofFields);

/** True if \p proof is the signature of \p request and \p proofFields, and the
 * time in \p proofFields is within MaxProofAge of \p now. Compares in constant
 * time. Pure. */
bool isForwardProofValid(std::string_view key, const CallRequest &request,
                         const ForwardProofFields &proofFields,
                         std::string_view proof, WallTime now);

} // namespace plantainhatch

#endif
