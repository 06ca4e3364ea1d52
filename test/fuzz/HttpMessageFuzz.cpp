/** \file
 * Fuzzes the reader of HTTP messages: whatever comes, in whatever pieces, it
 * uses no more than there is, and its headers can be passed on. */
#include "connection/HttpMessageReader.h"

#include <algorithm>
#include <cstdlib>

namespace {

using plantainhatch::HttpMessageReader;
using State = HttpMessageReader::State;

bool isReading(const HttpMessageReader &reader) {
  return reader.state() == State::Head || reader.state() == State::Body;
}

void readInPieces(http_parser_type type, std::string_view bytes,
                  std::size_t pieceBytes) {
  HttpMessageReader reader(type);
  while (!bytes.empty() && isReading(reader)) {
    const std::size_t n = reader.feed(bytes.substr(0, pieceBytes));
    if (n > std::min(bytes.size(), pieceBytes))
      std::abort();
    bytes.remove_prefix(n);
    if (reader.state() == State::Complete) {
      plantainhatch::removeHopByHopHeaders(reader.headers);
      reader.restart();
    }
  }
  if (isReading(reader))
    reader.feedEnd();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  if (size == 0)
    return 0;
  const std::size_t pieceBytes = 1 + data[0];
  const std::string_view bytes(reinterpret_cast<const char *>(data) + 1,
                               size - 1);
  readInPieces(HTTP_REQUEST, bytes, pieceBytes);
  readInPieces(HTTP_RESPONSE, bytes, pieceBytes);
  return 0;
}
