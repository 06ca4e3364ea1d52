#include "connection/ConnectionRegistry.h"

#include <sys/socket.h>

namespace plantainhatch {

namespace {

constexpr const char *DataKey = "plantainhatch-connections";

bool isPeerOpen(GSocket *socket) {
  if (g_socket_is_closed(socket) != FALSE)
    return false;
  char c = 0;
  const auto n = recv(g_socket_get_fd(socket), &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

} // namespace

ConnectionRegistry &ConnectionRegistry::of(SoupSession *session) {
  auto *registry = static_cast<ConnectionRegistry *>(
      g_object_get_data(G_OBJECT(session), DataKey));
  if (registry != nullptr)
    return *registry;
  registry = new ConnectionRegistry;
  g_object_set_data_full(
      G_OBJECT(session), DataKey, registry,
      [](gpointer data) { delete static_cast<ConnectionRegistry *>(data); });
  return *registry;
}

void ConnectionRegistry::follow(SoupMessage *message) {
  g_signal_connect(message, "network-event", G_CALLBACK(onNetworkEvent), this);
}

bool ConnectionRegistry::isOpen(SoupMessage *message) {
  const auto it = sockets.find(soup_message_get_connection_id(message));
  return it != sockets.end() && isPeerOpen(it->second.get());
}

bool ConnectionRegistry::closeSending(SoupMessage *message) {
  const auto it = sockets.find(soup_message_get_connection_id(message));
  return it != sockets.end() &&
         g_socket_shutdown(it->second.get(), FALSE, TRUE, nullptr) != FALSE;
}

void ConnectionRegistry::add(guint64 connection, GSocket *socket) {
  std::erase_if(sockets, [](const auto &entry) {
    return g_socket_is_closed(entry.second.get()) != FALSE;
  });
  sockets[connection] = refGObject(socket);
}

void ConnectionRegistry::onNetworkEvent(SoupMessage *message,
                                        GSocketClientEvent event,
                                        GIOStream *stream, gpointer data) {
  if (event != G_SOCKET_CLIENT_COMPLETE || !G_IS_SOCKET_CONNECTION(stream))
    return;
  auto *const self = static_cast<ConnectionRegistry *>(data);
  self->add(soup_message_get_connection_id(message),
            g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream)));
}

} // namespace plantainhatch
