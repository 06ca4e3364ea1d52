#include "connection/PeerSocket.h"

#include <array>

namespace plantainhatch {

namespace {

/** Datagrams taken in one turn of the main loop, so that a flood does not
 * starve calls. */
constexpr int MaxPerTurn = 64;

} // namespace

GObjectPtr<GSocketAddress> toSocketAddress(const Address &address) {
  return GObjectPtr<GSocketAddress>(g_inet_socket_address_new_from_string(
      address.host.c_str(), address.port));
}

Checked<std::unique_ptr<PeerSocket>> PeerSocket::bind(const Address &address,
                                                      Receiver receiver) {
  const auto local = toSocketAddress(address);
  GError *error = nullptr;
  GObjectPtr<GSocket> socket(
      g_socket_new(g_socket_address_get_family(local.get()),
                   G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, &error));
  if (!socket || !g_socket_bind(socket.get(), local.get(), FALSE, &error)) {
    const GErrorPtr owned(error);
    return Findings{
        {"peers", 0, 0, {}, address.toString() + ": " + owned->message}};
  }
  g_socket_set_blocking(socket.get(), FALSE);
  return std::unique_ptr<PeerSocket>(
      new PeerSocket(std::move(socket), std::move(receiver)));
}

PeerSocket::PeerSocket(GObjectPtr<GSocket> ownedSocket, Receiver receiver)
    : socket(std::move(ownedSocket)), receiver(std::move(receiver)) {
  GSource *const readable =
      g_socket_create_source(socket.get(), G_IO_IN, nullptr);
  g_source_set_callback(readable, G_SOURCE_FUNC(onReadable), this, nullptr);
  source = g_source_attach(readable, nullptr);
  g_source_unref(readable);
}

PeerSocket::~PeerSocket() { g_source_remove(source); }

void PeerSocket::send(const Address &target, std::string_view bytes) {
  const auto address = toSocketAddress(target);
  if (!address)
    return;
  g_socket_send_to(socket.get(), address.get(), bytes.data(), bytes.size(),
                   nullptr, nullptr);
}

void PeerSocket::receiveAll() {
  std::array<char, MaxDatagram> buf;
  for (int turn = 0; turn < MaxPerTurn; ++turn) {
    const gssize n = g_socket_receive(socket.get(), buf.data(), buf.size(),
                                      nullptr, nullptr);
    if (n < 0)
      return;
    receiver(std::string_view(buf.data(), static_cast<std::size_t>(n)));
  }
}

gboolean PeerSocket::onReadable(GSocket * /*socket*/,
                                GIOCondition /*condition*/, gpointer data) {
  static_cast<PeerSocket *>(data)->receiveAll();
  return G_SOURCE_CONTINUE;
}

} // namespace plantainhatch
