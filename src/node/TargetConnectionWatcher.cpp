#include "node/TargetConnectionWatcher.h"

#include "connection/HangupWatcher.h"
#include "connection/connectTo.h"

namespace plantainhatch {

namespace {

constexpr std::chrono::seconds ConnectTimeout{1};

int fdOf(GSocketConnection *connection) {
  return g_socket_get_fd(g_socket_connection_get_socket(connection));
}

} // namespace

TargetConnectionWatcher::TargetConnectionWatcher(std::function<void()> onClosed)
    : onClosed(std::move(onClosed)) {}

TargetConnectionWatcher::~TargetConnectionWatcher() { disconnect(); }

void TargetConnectionWatcher::watch(const Address &address) {
  if (address == watched)
    return;
  disconnect();
  watched = address;
  connect();
}

void TargetConnectionWatcher::connect() {
  attempt = std::make_shared<TargetConnectionWatcher *>(this);
  connectTo(watched, ConnectTimeout,
            [weak = std::weak_ptr(attempt)](ConnectResult result) {
              if (const auto self = weak.lock())
                (*self)->onConnected(std::move(result.connection));
            });
}

void TargetConnectionWatcher::onConnected(
    GObjectPtr<GSocketConnection> established) {
  connection = std::move(established);
  if (!connection) {
    // The next announcement connects again.
    watched = {};
    return;
  }
  HangupWatcher::instance().watch(fdOf(connection.get()), this, [this] {
    disconnect();
    onClosed();
  });
}

void TargetConnectionWatcher::disconnect() {
  if (connection)
    HangupWatcher::instance().unwatch(fdOf(connection.get()), this);
  connection.reset();
  watched = {};
}

} // namespace plantainhatch
