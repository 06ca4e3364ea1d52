#include "request/CallRequest.h"

#include "base/Digest.h"
#include "request/HeaderNames.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace plantainhatch {

namespace {

bool equalsIgnoringCase(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

bool startsWithIgnoringCase(std::string_view text, std::string_view prefix) {
  return text.size() >= prefix.size() &&
         equalsIgnoringCase(text.substr(0, prefix.size()), prefix);
}

/** The hop-by-hop headers of HTTP/1.1 (RFC 2616, section 13.5.1),
 * Proxy-Connection, and Content-Length, which each hop sets for the body that
 * it sends. */
constexpr std::array<std::string_view, 10> HopByHopHeaders{
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length"};

bool isHopByHopHeader(std::string_view name) {
  return startsWithIgnoringCase(name, headers::InternalPrefix) ||
         std::ranges::any_of(HopByHopHeaders, [&](std::string_view hop) {
           return equalsIgnoringCase(hop, name);
         });
}

/** Adds the names that \p value, that of a Connection header, lists. */
void addListedNames(const std::string &value, std::vector<std::string> &names) {
  static constexpr std::string_view Separators = ", \t";
  std::size_t at = 0;
  while ((at = value.find_first_not_of(Separators, at)) != std::string::npos) {
    const auto end =
        std::min(value.find_first_of(Separators, at), value.size());
    names.push_back(value.substr(at, end - at));
    at = end;
  }
}

/** Names listed in the Connection headers; headers with these names are
 * hop-by-hop too (RFC 9110, section 7.6.1). */
std::vector<std::string> namesInConnectionHeaders(const HeaderList &list) {
  std::vector<std::string> names;
  for (const auto &[name, value] : list)
    if (equalsIgnoringCase(name, "Connection"))
      addListedNames(value, names);
  return names;
}

} // namespace

std::optional<std::string> findHeader(const HeaderList &list,
                                      std::string_view name) {
  const auto it = std::ranges::find_if(list, [&](const auto &header) {
    return equalsIgnoringCase(header.first, name);
  });
  return it == list.end() ? std::nullopt : std::optional(it->second);
}

void removeHeader(HeaderList &list, std::string_view name) {
  std::erase_if(list, [&](const auto &header) {
    return equalsIgnoringCase(header.first, name);
  });
}

void removeHopByHopHeaders(HeaderList &list) {
  for (const std::string &name : namesInConnectionHeaders(list))
    removeHeader(list, name);
  std::erase_if(
      list, [](const auto &header) { return isHopByHopHeader(header.first); });
}

std::string_view CallRequest::path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

bool isIdempotentMethod(std::string_view method) {
  static constexpr std::array<std::string_view, 5> Methods{"GET", "HEAD", "PUT",
                                                           "DELETE", "OPTIONS"};
  return std::ranges::find(Methods, method) != Methods.end();
}

bool isSafeMethod(std::string_view method) {
  static constexpr std::array<std::string_view, 3> Methods{"GET", "HEAD",
                                                           "OPTIONS"};
  return std::ranges::find(Methods, method) != Methods.end();
}

bool isIdempotent(const CallRequest &request, const ServiceRule &rule) {
  if (rule.isRetryable)
    return *rule.isRetryable;
  return !rule.isOnce && isIdempotentMethod(request.method);
}

std::optional<std::chrono::milliseconds>
timeoutOf(const CallRequest &request, const ServiceRule &rule,
          std::string_view timeoutHeader) {
  const auto value = findHeader(request.headers, timeoutHeader);
  if (!value)
    return rule.timeout;
  std::int64_t ms = 0;
  const char *const end = value->data() + value->size();
  auto [it, ec] = std::from_chars(value->data(), end, ms);
  if (ec != std::errc() || it != end || ms <= 0)
    return std::nullopt;
  return std::min(rule.timeout, std::chrono::milliseconds(ms));
}

std::uint64_t fingerprintOf(const CallRequest &request,
                            const std::string &service) {
  return stableHash(service + "\n" + request.method + "\n" + request.target +
                    "\n" + digestOf(request.body));
}

} // namespace plantainhatch
