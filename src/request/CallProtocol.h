/** \file
 * How callers and targets are spoken with: names of headers, and what an answer
 * says of itself. */
#ifndef PLANTAINHATCH_REQUEST_CALLPROTOCOL_H
#define PLANTAINHATCH_REQUEST_CALLPROTOCOL_H

#include "request/CallRequest.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace plantainhatch {

/** The load that a target tells of itself. */
struct TargetLoad {
  unsigned running = 0;
  unsigned waiting = 0;
  unsigned slots = 0;
  /** How long work takes there at the moment; 1 means as usual. */
  double slowdown = 1;
};

/** What an answer says of the call. */
enum class AnswerKind : std::uint8_t {
  /** The target's own answer to this call. */
  Genuine,
  /** The target has not run the call, and never will. */
  NotRun,
  /** Another target has the address; it has not run the call. */
  WrongTarget,
  /** Not an answer of the target to this call; whether it ran is not known. */
  Foreign
};

/** A value for each interface that the system offers to callers and targets.
 * Immutable; its functions are pure. */
struct CallProtocol {
  /** Identifies a request on its whole way. */
  std::string requestIdHeader;
  /** The time that is left for a call, in milliseconds. */
  std::string timeoutMsHeader;
  /** Calls without an identifier are errors; else they get one. */
  bool requiresRequestId = false;
  /** Names the service beside which a call began; empty if targets are not
   * told. */
  std::string callerServiceHeader;
  /** Names the start of the target that is to run the call; empty if targets do
   * not check it. */
  std::string expectedTargetHeader;
  /** Retry-After may hold fractions of a second. */
  bool hasFractionalRetryAfter = false;
  /** Calls that are not idempotent reach a target on a connection that no other
   * call has used, so that no late answer can be taken for theirs. */
  bool isolatesNonIdempotentCalls = false;

  /** Judges an answer by its status and headers. */
  std::function<AnswerKind(unsigned status, const HeaderList &answer,
                           const std::string &requestId)>
      classify;
  /** The load that rides on an answer. */
  std::function<std::optional<TargetLoad>(const HeaderList &answer)> readLoad;
};

/** The product's own interface. */
CallProtocol makeNativeCallProtocol();

} // namespace plantainhatch

#endif
