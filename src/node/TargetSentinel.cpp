#include "node/TargetSentinel.h"

#include "connection/HangupWatcher.h"

namespace plantainhatch {

namespace {

constexpr unsigned ConnectSeconds = 1;

int fdOf(GSocketConnection *connection) {
  return g_socket_get_fd(g_socket_connection_get_socket(connection));
}

} // namespace

TargetSentinel::TargetSentinel(std::function<void()> onClosed)
    : onClosed(std::move(onClosed)) {}

TargetSentinel::~TargetSentinel() { drop(); }

void TargetSentinel::watch(const Address &address) {
  if (address == watched)
    return;
  drop();
  watched = address;
  connect();
}

void TargetSentinel::connect() {
  const GObjectPtr<GSocketClient> client(g_socket_client_new());
  g_socket_client_set_timeout(client.get(), ConnectSeconds);
  g_socket_client_set_enable_proxy(client.get(), FALSE);
  g_socket_client_connect_to_host_async(
      client.get(), watched.toString().c_str(), watched.port, nullptr,
      onConnected, new std::weak_ptr<TargetSentinel *>(alive));
}

void TargetSentinel::onConnected(GObject *source, GAsyncResult *result,
                                 gpointer data) {
  const std::unique_ptr<std::weak_ptr<TargetSentinel *>> weak(
      static_cast<std::weak_ptr<TargetSentinel *> *>(data));
  GObjectPtr<GSocketConnection> established(
      g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, nullptr));
  if (const auto self = weak->lock())
    (*self)->take(std::move(established));
}

void TargetSentinel::take(GObjectPtr<GSocketConnection> established) {
  connection = std::move(established);
  if (!connection) {
    // The next announcement tries again.
    watched = {};
    return;
  }
  HangupWatcher::instance().watch(fdOf(connection.get()), this, [this] {
    drop();
    onClosed();
  });
}

void TargetSentinel::drop() {
  if (connection)
    HangupWatcher::instance().unwatch(fdOf(connection.get()), this);
  connection.reset();
  watched = {};
}

} // namespace plantainhatch
