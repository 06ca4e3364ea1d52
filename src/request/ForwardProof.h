/** \file
 * The proof that a call was forwarded by a node of the cluster. */
#ifndef PLANTAINHATCH_REQUEST_FORWARDPROOF_H
#define PLANTAINHATCH_REQUEST_FORWARDPROOF_H

#include "base/HybridClock.h"
#include "request/CallRequest.h"

#include <string>
#include <string_view>

namespace plantainhatch {

/** What the proof covers besides the request. */
struct ForwardProofFields {
  std::string service;
  HybridTime time;
  std::string timeoutMs;
  /** The callers address of the gate it is meant for, so that it is of no use
   * at another. */
  std::string gate;
};

/** A proof older than this is refused, so that a recorded one is soon of no
 * use. */
inline constexpr std::chrono::seconds MaxProofAge{30};

/** The proof for \p request under the cluster's key, in hexadecimal. Pure. */
std::string makeForwardProof(std::string_view key, const CallRequest &request,
                             const ForwardProofFields &claims);

/** True if \p proof fits and is fresh at \p now. Pure. */
bool isForwardProofValid(std::string_view key, const CallRequest &request,
                         const ForwardProofFields &claims,
                         std::string_view proof, WallTime now);

} // namespace plantainhatch

#endif
