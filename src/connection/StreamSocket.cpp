#include "connection/StreamSocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace plantainhatch {

namespace {

/** A connection that went silent is given up after about these times, as only
 * probes of one's own show it. */
constexpr int KeepAliveIdleSeconds = 3;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 3;
constexpr int UnacknowledgedMilliseconds = 3'000;

void setOption(int fd, int level, int option, int value) {
  setsockopt(fd, level, option, &value, sizeof(value));
}

void setOptions(int fd) {
  setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedMilliseconds);
}

bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

} // namespace

StreamSocket::StreamSocket(int fd) : fd(fd) { setOptions(fd); }

StreamSocket::StreamSocket(StreamSocket &&other) noexcept
    : fd(std::exchange(other.fd, -1)),
      isWatched(std::exchange(other.isWatched, false)),
      isReading(other.isReading), sentAny(other.sentAny),
      baseEvents(other.baseEvents), queued(std::move(other.queued)),
      sent(other.sent), queuedCharge(std::move(other.queuedCharge)) {}

StreamSocket &StreamSocket::operator=(StreamSocket &&other) noexcept {
  if (this == &other)
    return *this;
  close();
  fd = std::exchange(other.fd, -1);
  isWatched = std::exchange(other.isWatched, false);
  isReading = other.isReading;
  sentAny = other.sentAny;
  baseEvents = other.baseEvents;
  queued = std::move(other.queued);
  sent = other.sent;
  queuedCharge = std::move(other.queuedCharge);
  return *this;
}

std::optional<StreamSocket> StreamSocket::connect(const Address &address) {
  sockaddr_storage storage{};
  socklen_t n = 0;
  auto *const v4 = reinterpret_cast<sockaddr_in *>(&storage);
  auto *const v6 = reinterpret_cast<sockaddr_in6 *>(&storage);
  if (inet_pton(AF_INET, address.host.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(address.port);
    n = sizeof(sockaddr_in);
  } else if (inet_pton(AF_INET6, address.host.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(address.port);
    n = sizeof(sockaddr_in6);
  } else {
    return std::nullopt;
  }
  const int fd =
      socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return std::nullopt;
  StreamSocket created(fd);
  if (::connect(fd, reinterpret_cast<sockaddr *>(&storage), n) != 0 &&
      errno != EINPROGRESS)
    return std::nullopt;
  return created;
}

int StreamSocket::connectError() const {
  int error = 0;
  socklen_t n = sizeof(error);
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n);
  return error;
}

void StreamSocket::watch(ReadyHandler &handler, std::uint32_t events) {
  unwatch();
  baseEvents = events;
  isReading = true;
  isWatched = true;
  Reactor::instance().add(fd, events | EPOLLIN, handler);
  if (hasQueued())
    updateEvents();
}

void StreamSocket::setReading(bool isWanted) {
  if (isReading == isWanted)
    return;
  isReading = isWanted;
  updateEvents();
}

void StreamSocket::unwatch() {
  if (std::exchange(isWatched, false))
    Reactor::instance().remove(fd);
}

void StreamSocket::updateEvents() {
  if (!isWatched)
    return;
  const std::uint32_t in = isReading ? std::uint32_t{EPOLLIN} : 0;
  const std::uint32_t out = hasQueued() ? std::uint32_t{EPOLLOUT} : 0;
  Reactor::instance().modify(fd, baseEvents | in | out);
}

StreamSocket::ReadResult StreamSocket::read(std::string &bytes,
                                            std::size_t most) {
  static std::array<char, 16UL * 1024> buffer;
  const auto n =
      recv(fd, buffer.data(), std::min(most, buffer.size()), MSG_DONTWAIT);
  if (n > 0) {
    bytes.append(buffer.data(), static_cast<std::size_t>(n));
    return ReadResult::Bytes;
  }
  if (n == 0)
    return ReadResult::End;
  return wouldBlock() || errno == EINTR ? ReadResult::Nothing
                                        : ReadResult::Broken;
}

bool StreamSocket::write(std::string_view bytes) {
  const bool wasQueued = hasQueued();
  queued.append(bytes);
  queuedCharge.set(queued);
  return wasQueued || flush();
}

bool StreamSocket::flush() {
  const bool hadQueued = hasQueued();
  bool isSound = true;
  while (hasQueued()) {
    const auto n = send(fd, queued.data() + sent, queued.size() - sent,
                        MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0) {
      isSound = wouldBlock() || errno == EINTR;
      break;
    }
    sentAny = true;
    sent += static_cast<std::size_t>(n);
  }
  if (!hasQueued()) {
    // Not cleared: most connections are idle, and would keep the memory.
    queued = {};
    sent = 0;
  }
  queuedCharge.set(queued);
  const bool hasMore = hasQueued();
  if (isWatched && (hasMore || hadQueued))
    updateEvents();
  return isSound;
}

bool StreamSocket::closeSending() {
  return fd >= 0 && shutdown(fd, SHUT_WR) == 0;
}

void StreamSocket::reset() {
  if (fd < 0)
    return;
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close();
}

void StreamSocket::close() {
  unwatch();
  if (fd >= 0)
    ::close(std::exchange(fd, -1));
}

Address StreamSocket::peer() const {
  sockaddr_storage storage{};
  socklen_t n = sizeof(storage);
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (getpeername(fd, reinterpret_cast<sockaddr *>(&storage), &n) != 0)
    return {};
  if (storage.ss_family == AF_INET) {
    const auto *const v4 = reinterpret_cast<sockaddr_in *>(&storage);
    inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    return {text.data(), ntohs(v4->sin_port)};
  }
  const auto *const v6 = reinterpret_cast<sockaddr_in6 *>(&storage);
  inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
  return {text.data(), ntohs(v6->sin6_port)};
}

bool StreamSocket::isStale() const {
  char c = 0;
  const auto n = recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || !wouldBlock();
}

bool StreamSocket::hasPeerClosed() const {
  pollfd state{fd, POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0;
}

} // namespace plantainhatch
