/** \file
 * One call, as values. */
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

/** Headers in their order, names as they were sent. */
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/** The value of the first header with this name, in any case; nothing if there
 * is none. */
std::optional<std::string> findHeader(const HeaderList &headers,
                                      std::string_view name);

/** Removes every header with this name, in any case. */
void removeHeader(HeaderList &headers, std::string_view name);

/** Removes headers that concern one connection only, and those between nodes.
 */
void removeHopByHopHeaders(HeaderList &headers);

/** A call as a caller sent it. Immutable after it was read. */
struct CallRequest {
  std::string id;
  std::string method;
  /** Path and query, as sent. */
  std::string target;
  HeaderList headers;
  std::string body;

  /** The path without the query. */
  std::string_view path() const;
};

/** True if the method promises that running a call twice is as good as once. */
bool isIdempotentMethod(std::string_view method);

/** True if the method promises to change nothing. */
bool isSafeMethod(std::string_view method);

/** True if a call under \p rule may be run again without harm. */
bool isIdempotent(const CallRequest &request, const ServiceRule &rule);

/** The time a call has: the smaller of the rule's and the caller's.
 * \return nothing if the caller's header is not a positive number. */
std::optional<std::chrono::milliseconds>
timeoutOf(const CallRequest &request, const ServiceRule &rule,
          std::string_view timeoutHeader);

/** Tells requests apart that would do the same: service, method, target and
 * body. */
std::uint64_t fingerprintOf(const CallRequest &request,
                            const std::string &service);

} // namespace plantainhatch

#endif
