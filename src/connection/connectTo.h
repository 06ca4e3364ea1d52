/** \file
 * Opens a TCP connection. */
#ifndef PLANTAINHATCH_CONNECTION_CONNECTTO_H
#define PLANTAINHATCH_CONNECTION_CONNECTTO_H

#include "base/Address.h"
#include "connection/GObjectPtr.h"

#include <chrono>
#include <functional>

namespace plantainhatch {

/** What became of an attempt to connect. */
struct ConnectResult {
  /** Null if there is no connection. */
  GObjectPtr<GSocketConnection> connection;
  /** Nobody listens there. */
  bool isRefused = false;
};

/** Connects to \p address without a proxy and calls \p done on the main loop.
 * \p timeout bounds the attempt and, later, each wait on the connection. \p
 * done may outlive the caller; it must hold what it needs. */
void connectTo(const Address &address, std::chrono::seconds timeout,
               std::function<void(ConnectResult)> done);

} // namespace plantainhatch

#endif
