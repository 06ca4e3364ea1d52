/** \file
 * Turns messages between nodes into authenticated bytes and back. */
#ifndef PLANTAINHATCH_CONNECTION_MESSAGECODEC_H
#define PLANTAINHATCH_CONNECTION_MESSAGECODEC_H

#include "base/Digest.h"
#include "connection/BulkMessage.h"
#include "process/Message.h"

#include <cereal/types/array.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>

#include <istream>
#include <optional>
#include <sstream>
#include <streambuf>
#include <string>
#include <string_view>

namespace plantainhatch {

/** Encodes and decodes under one cluster's key. The bytes are the serialized
 * value and a keyed digest of it; nothing is decoded before the digest has been
 * found right. Thread-safe. */
class MessageCodec {
public:
  /** Bytes of the digest at the end. */
  static constexpr std::size_t DigestBytes = 16;

  explicit MessageCodec(std::string key) : key(std::move(key)) {}

  /** The bytes for \p value. */
  template <typename T> std::string encode(const T &value) const;

  /** The value, or nothing if the bytes are damaged, forged or of another type.
   */
  template <typename T> std::optional<T> decode(std::string_view bytes) const;

  /** Decodes without looking for a digest. For decode() and for fuzzing only.
   */
  template <typename T>
  static std::optional<T> decodePayload(std::string_view payload);

private:
  std::string key;

  std::string digest(std::string_view payload) const {
    return keyedDigestOf(key, payload).substr(0, DigestBytes);
  }
};

namespace internal {

/** Reads from a view without copying it. */
class ViewBuffer : public std::streambuf {
public:
  explicit ViewBuffer(std::string_view view) {
    auto *const start = const_cast<char *>(view.data());
    setg(start, start, start + view.size());
  }
};

} // namespace internal

template <typename T> std::string MessageCodec::encode(const T &value) const {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(value);
  std::string bytes = std::move(stream).str();
  return bytes + digest(bytes);
}

template <typename T>
std::optional<T> MessageCodec::decode(std::string_view bytes) const {
  if (bytes.size() < DigestBytes)
    return std::nullopt;
  const auto payload = bytes.substr(0, bytes.size() - DigestBytes);
  if (!areDigestsEqual(digest(payload), bytes.substr(payload.size())))
    return std::nullopt;
  return decodePayload<T>(payload);
}

template <typename T>
std::optional<T> MessageCodec::decodePayload(std::string_view payload) {
  try {
    internal::ViewBuffer buffer(payload);
    std::istream stream(&buffer);
    cereal::PortableBinaryInputArchive archive(stream);
    T value;
    archive(value);
    return value;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace plantainhatch

#endif
