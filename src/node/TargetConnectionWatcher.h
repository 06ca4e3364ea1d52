/** \file
 * Detects at once that the process of a target has ended. */
#ifndef PLANTAINHATCH_NODE_TARGETCONNECTIONWATCHER_H
#define PLANTAINHATCH_NODE_TARGETCONNECTIONWATCHER_H

#include "base/Address.h"
#include "connection/GObjectPtr.h"

#include <functional>
#include <memory>

namespace plantainhatch {

/** Holds one idle connection to the target. The kernel closes it when the
 * target's process ends, long before a new process can listen at the same
 * address, so that a new instance is suspected before it is announced. Use on
 * the main loop only. */
class TargetConnectionWatcher {
public:
  /** \param onClosed is called when the connection was closed by the target. */
  explicit TargetConnectionWatcher(std::function<void()> onClosed);
  ~TargetConnectionWatcher();
  TargetConnectionWatcher(const TargetConnectionWatcher &) = delete;
  TargetConnectionWatcher &operator=(const TargetConnectionWatcher &) = delete;
  TargetConnectionWatcher(TargetConnectionWatcher &&) = delete;
  TargetConnectionWatcher &operator=(TargetConnectionWatcher &&) = delete;

  /** Connects to \p address, unless it is connected there already. */
  void watch(const Address &address);

private:
  std::function<void()> onClosed;
  Address watched;
  GObjectPtr<GSocketConnection> connection;
  /** Renewed by each attempt to connect. Expires with the next one and with
   * this object, so that the callback of a former attempt does nothing. */
  std::shared_ptr<TargetConnectionWatcher *> attempt;

  void connect();
  void onConnected(GObjectPtr<GSocketConnection> established);
  void disconnect();
};

} // namespace plantainhatch

#endif
