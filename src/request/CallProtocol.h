/** \file
 * The HTTP interface to callers and targets: header names, and how answers
 * of targets are classified. */
#ifndef PLANTAINHATCH_REQUEST_CALLPROTOCOL_H
#define PLANTAINHATCH_REQUEST_CALLPROTOCOL_H

#include "request/CallRequest.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace plantainhatch {

/** The load that a target reports in an answer. */
struct TargetLoad {
  /** Calls that are running. */
  unsigned running = 0;
  /** Calls in the target's own queue. */
  unsigned waiting = 0;
  /** Calls that can run at the same time. */
  unsigned slots = 0;
  /** Current service time as a multiple of the usual one. */
  double slowdown = 1;
};

/** What an answer says about the call. */
enum class AnswerKind : std::uint8_t {
  /** The target's own answer to this call. */
  Genuine,
  /** The target has not run the call, and never will. */
  NotRun,
  /** Another target has the address; it has not run the call. */
  WrongTarget,
  /** Not the target's answer to this call; whether the call was run is
   * unknown. */
  Foreign
};

/** Describes one HTTP interface to callers and targets. Not modified after it
 * was made; its functions are pure and are always set. */
struct CallProtocol {
  /** Name of the header with the request id, which is the same on all hops. */
  std::string requestIdHeader;
  /** Name of the header with the time left for the call, in milliseconds. */
  std::string timeoutMsHeader;
  /** True if calls without a request id are rejected; otherwise the ingress
   * assigns one. */
  bool requiresRequestId = false;
  /** Name of the header with the service on the VM where the call entered the
   * fleet; empty if it is not sent to targets. */
  std::string callerServiceHeader;
  /** Name of the header with the team that the caller belongs to; set by the
   * ingress, whatever the caller has sent. */
  std::string teamHeader;
  /** Name of the header with the boot ID of the target instance that must run
   * the call; empty if targets do not check it. */
  std::string expectedTargetHeader;
  /** Retry-After may hold fractions of a second. */
  bool hasFractionalRetryAfter = false;
  /** True if each call that is not idempotent is sent on a new connection, so
   * that a late answer to an earlier call cannot be taken for its own. */
  bool isolatesNonIdempotentCalls = false;

  /** Classifies an answer by its status and headers. */
  std::function<AnswerKind(unsigned status, const HeaderList &answer,
                           const std::string &requestId)>
      classify;
  /** The load reported in the headers of an answer; nullopt if there is none
   * or it is malformed. */
  std::function<std::optional<TargetLoad>(const HeaderList &answer)> readLoad;
};

/** The interface that plantainhatch itself defines. */
CallProtocol makeNativeCallProtocol();

} // namespace plantainhatch

#endif
