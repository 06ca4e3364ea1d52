/** \file
 * Digests of content, and keyed digests that prove a message comes from a
 * member. */
#ifndef PLANTAINHATCH_BASE_DIGEST_H
#define PLANTAINHATCH_BASE_DIGEST_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace plantainhatch {

/** The size of a keyed digest in bytes. */
inline constexpr std::size_t KeyedDigestSize = 32;

/** SHA-256 of \p text in lower-case hexadecimal. Thread-safe. */
std::string digestOf(std::string_view text);

/** HMAC-SHA-256 of \p text under \p key, KeyedDigestSize raw bytes.
 * Thread-safe. */
std::string keyedDigestOf(std::string_view key, std::string_view text);

/** Compares two digests in a time that does not depend on where they differ. */
bool areDigestsEqual(std::string_view left, std::string_view right);

/** Raw bytes in lower-case hexadecimal. */
std::string toHex(std::string_view bytes);

/** A 64-bit hash that is equal on every machine, for rendezvous hashing and
 * bucket digests. Not for authentication. */
std::uint64_t stableHash(std::string_view text);

} // namespace plantainhatch

#endif
