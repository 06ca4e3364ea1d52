#include "connection/HangupWatcher.h"

#include <glib-unix.h>
#include <sys/epoll.h>

#include <array>
#include <cstdint>
#include <utility>

namespace plantainhatch {

namespace {

constexpr std::size_t EventsPerTurn = 64;

} // namespace

HangupWatcher &HangupWatcher::instance() {
  // Never destroyed, as calls may end after it would be.
  static auto &watcher = *new HangupWatcher;
  return watcher;
}

HangupWatcher::HangupWatcher() : epoll(epoll_create1(EPOLL_CLOEXEC)) {
  g_unix_fd_add(epoll, G_IO_IN, onReadable, this);
}

void HangupWatcher::watch(int fd, const void *owner,
                          std::function<void()> action) {
  epoll_event event{};
  event.events = EPOLLRDHUP;
  event.data.fd = fd;
  if (epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event) == 0)
    watches[fd] = {owner, std::move(action)};
}

void HangupWatcher::unwatch(int fd, const void *owner) {
  const auto it = watches.find(fd);
  if (it == watches.end() || it->second.owner != owner)
    return;
  watches.erase(it);
  epoll_ctl(epoll, EPOLL_CTL_DEL, fd, nullptr);
}

void HangupWatcher::dispatch() {
  std::array<epoll_event, EventsPerTurn> events{};
  const int n = epoll_wait(epoll, events.data(), EventsPerTurn, 0);
  for (int it = 0; it < n; ++it) {
    const int fd = events[static_cast<std::size_t>(it)].data.fd;
    const auto found = watches.find(fd);
    if (found == watches.end())
      continue;
    const auto action = std::move(found->second.action);
    unwatch(fd, found->second.owner);
    action();
  }
}

gboolean HangupWatcher::onReadable(gint /*fd*/, GIOCondition /*condition*/,
                                   gpointer data) {
  static_cast<HangupWatcher *>(data)->dispatch();
  return G_SOURCE_CONTINUE;
}

} // namespace plantainhatch
