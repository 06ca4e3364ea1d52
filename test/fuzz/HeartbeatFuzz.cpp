/** \file
 * Fuzzes the parser of heartbeats: a body names a whole target, or each fault
 * has its field. */
#include "platform/parseHeartbeat.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  const std::string body(reinterpret_cast<const char *>(data), size);
  const auto heartbeat = plantainhatch::platform::parseHeartbeat("i-0", body);
  const bool isWhole = heartbeat && !heartbeat.value().target.service.empty() &&
                       heartbeat.value().target.slots > 0;
  if (!isWhole && (heartbeat || heartbeat.error().empty()))
    std::abort();
  return 0;
}
