#include "connection/ListeningSocket.h"

#include "connection/PeerSocket.h"

#include <glog/logging.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace plantainhatch {

namespace {

constexpr int Backlog = 512;

Findings makeFinding(const std::string &field, const Address &address) {
  return {{field, 0, 0, {}, address.toString() + ": " + std::strerror(errno)}};
}

/** A descriptor that can be given up for a moment. */
int openSpare() { return eventfd(0, EFD_CLOEXEC); }

} // namespace

Checked<std::unique_ptr<ListeningSocket>>
ListeningSocket::listen(const Address &address, const std::string &field,
                        Receiver receiver) {
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
  return std::unique_ptr<ListeningSocket>(
      new ListeningSocket(fd, std::move(receiver)));
}

ListeningSocket::ListeningSocket(int fd, Receiver receiver)
    : fd(fd), spareFd(openSpare()), receiver(std::move(receiver)) {
  Reactor::instance().add(fd, EPOLLIN, *this);
}

ListeningSocket::~ListeningSocket() {
  Reactor::instance().remove(fd);
  ::close(fd);
  if (spareFd >= 0)
    ::close(spareFd);
}

bool ListeningSocket::rejectOne() {
  if (spareFd < 0)
    return false;
  ::close(spareFd);
  const int rejected = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
  if (rejected >= 0)
    ::close(rejected);
  spareFd = openSpare();
  return rejected >= 0;
}

void ListeningSocket::onReady(std::uint32_t /*events*/) {
  while (true) {
    const int accepted =
        accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0 && (errno == EMFILE || errno == ENFILE)) {
      if (!rejectOne())
        return;
      continue;
    }
    if (accepted < 0) {
      if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
        LOG(WARNING) << "a connection cannot be accepted: "
                     << std::strerror(errno);
      return;
    }
    receiver(StreamSocket(accepted));
  }
}

} // namespace plantainhatch
