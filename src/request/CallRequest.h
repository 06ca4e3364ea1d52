/** \file
 * A caller's HTTP request, and functions on its headers and method. */
#ifndef PLANTAINHATCH_REQUEST_CALLREQUEST_H
#define PLANTAINHATCH_REQUEST_CALLREQUEST_H

#include "base/Time.h"
#include "version/Rule.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainhatch {

/** Header fields in the order and spelling of the message. */
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/** The value of the first header named \p name, ignoring case; nullopt if there
 * is none. */
std::optional<std::string> findHeader(const HeaderList &headers,
                                      std::string_view name);

/** Removes every header named \p name, ignoring case. */
void removeHeader(HeaderList &headers, std::string_view name);

/** Removes the hop-by-hop headers, those listed in Connection, Content-Length
 * and all headers with headers::InternalPrefix. */
void removeHopByHopHeaders(HeaderList &headers);

/** A call as received from a caller. Not modified after it has been read. */
struct CallRequest {
  /** The request id; set from its header by the ingress and by the gate. */
  std::string id;
  std::string method;
  /** Path and query, as received. */
  std::string target;
  HeaderList headers;
  std::string body;

  /** The path without the query. */
  std::string_view path() const;
};

/** True for the idempotent methods of HTTP, except TRACE. */
bool isIdempotentMethod(std::string_view method);

/** True for the safe (read-only) methods of HTTP, except TRACE. */
bool isSafeMethod(std::string_view method);

/** True if the call may be run more than once: as \p rule says, or else by its
 * method. */
bool isIdempotent(const CallRequest &request, const ServiceRule &rule);

/** The call's timeout: the smaller of that of \p rule and that in the header
 * \p timeoutHeader, in milliseconds.
 * \return nullopt if the header is present but not a positive integer. */
std::optional<std::chrono::milliseconds>
timeoutOf(const CallRequest &request, const ServiceRule &rule,
          std::string_view timeoutHeader);

/** Hash of service, method, target and body. Requests with equal fingerprints
 * are taken to do the same work. */
std::uint64_t fingerprintOf(const CallRequest &request,
                            const std::string &service);

} // namespace plantainhatch

#endif
