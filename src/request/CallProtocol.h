/** \file
 * The HTTP interface to callers and targets: header names, and how responses
 * of targets are classified. */
#ifndef PLANTAINHATCH_REQUEST_CALLPROTOCOL_H
#define PLANTAINHATCH_REQUEST_CALLPROTOCOL_H

#include "request/CallRequest.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace plantainhatch {

/** The load that a target reports in a response. */
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

/** What a response says about the call. */
enum class AnswerKind : std::uint8_t {
  /** The target's response to this call. */
  Genuine,
  /** The target has not run the call and will not run it. */
  NotRun,
  /** The address belongs to another target now; the call was not run. */
  WrongTarget,
  /** Not the target's response to this call; whether the call was run is
   * unknown. */
  Foreign
};

/** Describes one HTTP interface to callers and targets. Not modified after it
 * was made; its functions are pure and are always set. */
struct CallProtocol {
  /** Name of the header with the request id, which stays the same on all hops.
   */
  std::string requestIdHeader;
  /** Name of the header with the time left for the call, in milliseconds. */
  std::string timeoutMsHeader;
  /** True if calls without a request id are rejected; otherwise the ingress
   * assigns one. */
  bool requiresRequestId = false;
  /** Name of the header with the service on the VM where the call entered the
   * cluster; empty if it is not sent to targets. */
  std::string callerServiceHeader;
  /** Name of the header with the boot id of the target that must run the call;
   * empty if targets do not check it. */
  std::string expectedTargetHeader;
  /** True if Retry-After may have fractions of a second. */
  bool hasFractionalRetryAfter = false;
  /** True if each call that is not idempotent is sent on a new connection, so
   * that a late response to an earlier call cannot be taken for its response.
   */
  bool isolatesNonIdempotentCalls = false;

  /** Classifies a response by its status and headers. */
  std::function<AnswerKind(unsigned status, const HeaderList &answer,
                           const std::string &requestId)>
      classify;
  /** The load reported in the headers of a response; nullopt if there is none
   * or it is malformed. */
  std::function<std::optional<TargetLoad>(const HeaderList &answer)> readLoad;
};

/** The interface that plantainhatch itself defines. */
CallProtocol makeNativeCallProtocol();

} // namespace plantainhatch

#endif
