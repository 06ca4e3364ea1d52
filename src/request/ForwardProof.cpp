#include "request/ForwardProof.h"

#include "base/Digest.h"

namespace plantainhatch {

std::string makeForwardProof(std::string_view key, const CallRequest &request,
                             const ForwardProofFields &proofFields) {
  const std::string text = "forward\n" + request.id + "\n" + request.method +
                           "\n" + request.target + "\n" + proofFields.service +
                           "\n" + proofFields.time.toString() + "\n" +
                           proofFields.timeoutMs + "\n" + proofFields.gate +
                           "\n" + std::to_string(stableHash(request.body));
  return toHex(keyedDigestOf(key, text));
}

bool isForwardProofValid(std::string_view key, const CallRequest &request,
                         const ForwardProofFields &proofFields,
                         std::string_view proof, WallTime now) {
  const auto age = now - proofFields.time.wallTime();
  if (age > MaxProofAge || age < -MaxProofAge)
    return false;
  return areDigestsEqual(makeForwardProof(key, request, proofFields), proof);
}

} // namespace plantainhatch
