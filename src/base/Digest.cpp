#include "base/Digest.h"

#include <glib.h>

#include <memory>
#include <numeric>

namespace plantainhatch {

namespace {

constexpr std::uint64_t FnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t FnvPrime = 1099511628211ULL;

const guchar *bytesOf(std::string_view text) {
  return reinterpret_cast<const guchar *>(text.data());
}

/** The finalizer of MurmurHash3, which spreads FNV's weak high bits. */
std::uint64_t mix(std::uint64_t hash) {
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33U;
  hash *= 0xc4ceb9fe1a85ec53ULL;
  hash ^= hash >> 33U;
  return hash;
}

} // namespace

std::string digestOf(std::string_view text) {
  const std::unique_ptr<gchar, decltype(&g_free)> hex(
      g_compute_checksum_for_data(G_CHECKSUM_SHA256, bytesOf(text),
                                  text.size()),
      g_free);
  return hex.get();
}

std::string keyedDigestOf(std::string_view key, std::string_view text) {
  const std::unique_ptr<GHmac, decltype(&g_hmac_unref)> hmac(
      g_hmac_new(G_CHECKSUM_SHA256, bytesOf(key), key.size()), g_hmac_unref);
  g_hmac_update(hmac.get(), bytesOf(text), static_cast<gssize>(text.size()));
  std::string digest(KeyedDigestSize, '\0');
  gsize n = digest.size();
  g_hmac_get_digest(hmac.get(), reinterpret_cast<guint8 *>(digest.data()), &n);
  return digest;
}

bool areDigestsEqual(std::string_view left, std::string_view right) {
  if (left.size() != right.size())
    return false;
  const unsigned difference = std::inner_product(
      left.begin(), left.end(), right.begin(), 0U, std::bit_or<>(),
      [](char a, char b) { return static_cast<unsigned>(a ^ b) & 0xffU; });
  return difference == 0;
}

std::string toHex(std::string_view bytes) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    hex += Digits[byte >> 4U];
    hex += Digits[byte & 0xfU];
  }
  return hex;
}

std::uint64_t stableHash(std::string_view text) {
  return mix(std::accumulate(
      text.begin(), text.end(), FnvOffset, [](std::uint64_t hash, char c) {
        return (hash ^ static_cast<unsigned char>(c)) * FnvPrime;
      }));
}

} // namespace plantainhatch
