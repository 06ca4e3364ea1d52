/** \file
 * Fuzzes the decoders of messages between nodes: whatever decodes can be
 * encoded and decoded again. */
#include "connection/MessageCodec.h"

#include <cstdlib>

namespace {

using plantainhatch::MessageCodec;

template <typename T> void decodeTwice(std::string_view payload) {
  static const MessageCodec Codec("a key for fuzzing");
  const auto value = MessageCodec::decodePayload<T>(payload);
  if (value && !Codec.decode<T>(Codec.encode(*value)))
    std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  const std::string_view payload(reinterpret_cast<const char *>(data), size);
  decodeTwice<plantainhatch::Message>(payload);
  decodeTwice<plantainhatch::BulkRequest>(payload);
  decodeTwice<plantainhatch::BulkReply>(payload);
  return 0;
}
