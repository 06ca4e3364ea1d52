#include "connection/connectTo.h"

#include <memory>

namespace plantainhatch {

namespace {

using Receiver = std::function<void(ConnectResult)>;

void onConnected(GObject *source, GAsyncResult *result, gpointer data) {
  const std::unique_ptr<Receiver> done(static_cast<Receiver *>(data));
  GError *rawError = nullptr;
  ConnectResult connected;
  connected.connection.reset(g_socket_client_connect_finish(
      G_SOCKET_CLIENT(source), result, &rawError));
  const GErrorPtr error(rawError);
  connected.isRefused = error && g_error_matches(error.get(), G_IO_ERROR,
                                                 G_IO_ERROR_CONNECTION_REFUSED);
  (*done)(std::move(connected));
}

} // namespace

void connectTo(const Address &address, std::chrono::seconds timeout,
               std::function<void(ConnectResult)> done) {
  const GObjectPtr<GSocketClient> client(g_socket_client_new());
  g_socket_client_set_timeout(client.get(),
                              static_cast<guint>(timeout.count()));
  g_socket_client_set_enable_proxy(client.get(), FALSE);
  g_socket_client_connect_to_host_async(
      client.get(), address.toString().c_str(), address.port, nullptr,
      onConnected, new Receiver(std::move(done)));
}

} // namespace plantainhatch
