#include "connection/HttpServer.h"

#include "connection/PeerSocket.h"

#include <glog/logging.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace plantainhatch {

namespace {

constexpr int Backlog = 512;

Findings makeFinding(const std::string &field, const Address &address) {
  return {{field, 0, 0, {}, address.toString() + ": " + std::strerror(errno)}};
}

} // namespace

Checked<std::unique_ptr<HttpServer>>
HttpServer::listen(const Address &address, const std::string &field,
                   Handler handler) {
  const auto local = toSocketAddress(address);
  sockaddr_storage storage{};
  const gssize n = g_socket_address_get_native_size(local.get());
  g_socket_address_to_native(local.get(), &storage, sizeof(storage), nullptr);
  const int fd =
      socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return makeFinding(field, address);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(fd, reinterpret_cast<sockaddr *>(&storage),
           static_cast<socklen_t>(n)) != 0 ||
      ::listen(fd, Backlog) != 0) {
    auto finding = makeFinding(field, address);
    ::close(fd);
    return finding;
  }
  return std::unique_ptr<HttpServer>(new HttpServer(fd, std::move(handler)));
}

HttpServer::HttpServer(int fd, Handler newHandler)
    : fd(fd), handler(std::move(newHandler)) {
  Reactor::instance().add(fd, EPOLLIN, *this);
}

HttpServer::~HttpServer() {
  Reactor::instance().remove(fd);
  ::close(fd);
  std::vector<boost::intrusive_ptr<ServerConnection>> open;
  for (ServerConnection &it : connections)
    open.emplace_back(&it);
  // What was answered may still be on its way out; nothing is taken in.
  for (const auto &it : open)
    it->closeWhenIdle();
}

void HttpServer::onReady(std::uint32_t /*events*/) {
  while (true) {
    const int accepted =
        accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
        LOG(WARNING) << "a connection cannot be accepted: "
                     << std::strerror(errno);
      return;
    }
    const auto connection =
        ServerConnection::serve(StreamSocket(accepted), handler);
    connections.push_back(*connection);
  }
}

} // namespace plantainhatch
