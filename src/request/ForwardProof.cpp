#include "request/ForwardProof.h"

#include "base/Digest.h"

namespace plantainhatch {

std::string makeForwardProof(std::string_view key, const CallRequest &request,
                             const ForwardProofFields &claims) {
  const std::string text = "forward\n" + request.id + "\n" + request.method +
                           "\n" + request.target + "\n" + claims.service +
                           "\n" + claims.time.toString() + "\n" +
                           claims.timeoutMs + "\n" + claims.gate + "\n" +
                           std::to_string(stableHash(request.body));
  return toHex(keyedDigestOf(key, text));
}

bool isForwardProofValid(std::string_view key, const CallRequest &request,
                         const ForwardProofFields &claims,
                         std::string_view proof, WallTime now) {
  const auto age = now - claims.time.wallTime();
  if (age > MaxProofAge || age < -MaxProofAge)
    return false;
  return areDigestsEqual(makeForwardProof(key, request, claims), proof);
}

} // namespace plantainhatch
