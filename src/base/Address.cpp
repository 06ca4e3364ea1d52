#include "base/Address.h"

#include <algorithm>
#include <charconv>
#include <gio/gio.h>

namespace plantainhatch {

namespace {

std::optional<std::uint16_t> parsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char *const end = text.data() + text.size();
  auto [it, ec] = std::from_chars(text.data(), end, port);
  if (ec != std::errc() || it != end || port == 0)
    return std::nullopt;
  return port;
}

/** The resolver of numbers reads up to a zero byte, and takes any scope. */
bool isNumericHost(const std::string &host) {
  const auto isPart = [](char c) {
    return g_ascii_isalnum(c) || c == '.' || c == ':' || c == '%' || c == '-' ||
           c == '_';
  };
  return std::ranges::all_of(host, isPart) &&
         g_hostname_is_ip_address(host.c_str());
}

} // namespace

std::optional<Address> Address::parse(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0)
    return std::nullopt;
  std::string host(text.substr(0, colon));
  if (host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  if (!isNumericHost(host))
    return std::nullopt;
  const auto port = parsePort(text.substr(colon + 1));
  if (!port)
    return std::nullopt;
  return Address{std::move(host), *port};
}

std::string Address::toString() const {
  const bool isIpv6 = host.find(':') != std::string::npos;
  const std::string shown = isIpv6 ? "[" + host + "]" : host;
  return shown + ":" + std::to_string(port);
}

} // namespace plantainhatch
