#include "request/CallProtocol.h"

#include "request/HeaderNames.h"
#include "request/HttpStatus.h"
#include "request/Outcome.h"

namespace plantainhatch {

namespace {

AnswerKind classifyNativeAnswer(unsigned status, const HeaderList &answer,
                                const std::string &requestId) {
  // An answer to another request proves nothing about this one. Targets need
  // not repeat the identifier.
  const auto echoedId = findHeader(answer, headers::RequestId);
  if (echoedId && *echoedId != requestId)
    return AnswerKind::Foreign;
  const bool isShed = status == httpStatus::ServiceUnavailable &&
                      findHeader(answer, headers::Outcome) ==
                          std::string(toString(Outcome::NotRun));
  return isShed ? AnswerKind::NotRun : AnswerKind::Genuine;
}

} // namespace

CallProtocol makeNativeCallProtocol() {
  CallProtocol protocol;
  protocol.requestIdHeader = headers::RequestId;
  protocol.timeoutMsHeader = headers::TimeoutMs;
  protocol.teamHeader = headers::Team;
  protocol.isolatesNonIdempotentCalls = true;
  protocol.classify = classifyNativeAnswer;
  protocol.readLoad = [](const HeaderList & /*answer*/) {
    return std::optional<TargetLoad>();
  };
  return protocol;
}

} // namespace plantainhatch
