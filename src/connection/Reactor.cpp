#include "connection/Reactor.h"

#include <glib-unix.h>
#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <span>

namespace plantainhatch {

namespace {

constexpr std::size_t EventsPerTurn = 64;
constexpr unsigned SerialShift = 32;

epoll_event makeEvent(int fd, std::uint32_t serial, std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.u64 =
      (std::uint64_t{serial} << SerialShift) | static_cast<std::uint32_t>(fd);
  return event;
}

} // namespace

Reactor &Reactor::instance() {
  // Never destroyed, as connections may end after it would be.
  static auto &reactor = *new Reactor;
  return reactor;
}

Reactor::Reactor() : epoll(epoll_create1(EPOLL_CLOEXEC)) {
  GSource *const source = g_unix_fd_source_new(epoll, G_IO_IN);
  g_source_set_callback(source, G_SOURCE_FUNC(onReadable), this, nullptr);
  // Saves the library from taking the source out of its poll set and back in
  // each time.
  g_source_set_can_recurse(source, TRUE);
  g_source_attach(source, nullptr);
  g_source_unref(source);
}

void Reactor::add(int fd, std::uint32_t events, ReadyHandler &handler) {
  epoll_event event = makeEvent(fd, ++lastSerial, events);
  watches[fd] = {&handler, lastSerial};
  epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event);
}

void Reactor::modify(int fd, std::uint32_t events) {
  epoll_event event = makeEvent(fd, watches.at(fd).serial, events);
  epoll_ctl(epoll, EPOLL_CTL_MOD, fd, &event);
}

void Reactor::remove(int fd) {
  watches.erase(fd);
  epoll_ctl(epoll, EPOLL_CTL_DEL, fd, nullptr);
}

void Reactor::dispatch() {
  std::array<epoll_event, EventsPerTurn> events{};
  const int n = epoll_wait(epoll, events.data(), EventsPerTurn, 0);
  const std::span ready(events.data(),
                        static_cast<std::size_t>(std::max(n, 0)));
  // A connection that has ended may have given up what another event of this
  // turn would begin.
  std::ranges::stable_partition(ready, [](const epoll_event &it) {
    return (it.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  });
  for (const epoll_event &event : ready) {
    const auto fd =
        static_cast<int>(static_cast<std::uint32_t>(event.data.u64));
    // An earlier handler of this turn may have closed the socket, and opened
    // another of the same number.
    const auto found = watches.find(fd);
    if (found != watches.end() &&
        found->second.serial == event.data.u64 >> SerialShift)
      found->second.handler->onReady(event.events);
  }
}

gboolean Reactor::onReadable(gint /*fd*/, GIOCondition /*condition*/,
                             gpointer data) {
  static_cast<Reactor *>(data)->dispatch();
  return G_SOURCE_CONTINUE;
}

} // namespace plantainhatch
