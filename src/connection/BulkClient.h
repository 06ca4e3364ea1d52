/** \file
 * Sends one bulk request to another node. */
#ifndef PLANTAINHATCH_CONNECTION_BULKCLIENT_H
#define PLANTAINHATCH_CONNECTION_BULKCLIENT_H

#include "base/Address.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace plantainhatch {

/** A request that has had no reply for this long is given up. */
inline constexpr std::chrono::seconds BulkTimeout{3};

/** Connects to \p address, sends \p request as one frame and calls \p done with
 * the reply, or with nothing if there was none. \p done is called on the main
 * loop and may outlive the caller; it must hold what it needs. */
void requestBulk(const Address &address, std::string request,
                 std::function<void(std::optional<std::string>)> done);

} // namespace plantainhatch

#endif
