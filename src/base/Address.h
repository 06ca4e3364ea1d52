/** \file
 * The address of a process: an IP number and a port. */
#ifndef PLANTAINHATCH_BASE_ADDRESS_H
#define PLANTAINHATCH_BASE_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainhatch {

/** An IP number with a port. Host names are not accepted, as the system
 * resolves none. A plain value; safe to share between threads once built. */
struct Address {
  std::string host;
  std::uint16_t port = 0;

  /** Parses "IP:PORT", or "[IPv6]:PORT". Returns nothing when the text is not
   * of that shape. */
  static std::optional<Address> parse(std::string_view text);

  /** The text that parse() accepts. */
  std::string toString() const;

  /** True if the address has not been set. */
  bool isEmpty() const { return host.empty(); }

  auto operator<=>(const Address &) const = default;

  /** Serialization hook. */
  template <typename Archive> void serialize(Archive &archive) {
    archive(host, port);
  }
};

} // namespace plantainhatch

#endif
