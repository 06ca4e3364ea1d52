#include "connection/HangupWatcher.h"

#include <glib-unix.h>
#include <poll.h>

namespace plantainhatch {

HangupWatcher &HangupWatcher::instance() {
  // Never destroyed, as calls may end after it would be.
  static auto &watcher = *new HangupWatcher;
  return watcher;
}

void HangupWatcher::watch(int fd, const void *owner,
                          std::function<void()> action) {
  // The library's conditions are those of poll(), which has this one besides.
  const auto condition = static_cast<GIOCondition>(POLLRDHUP);
  const guint source = g_unix_fd_add(fd, condition, onReady, this);
  watches[fd] = {owner, std::move(action), source};
}

void HangupWatcher::unwatch(int fd, const void *owner) {
  const auto it = watches.find(fd);
  if (it == watches.end() || it->second.owner != owner)
    return;
  g_source_remove(it->second.source);
  watches.erase(it);
}

void HangupWatcher::onHangup(int fd) {
  const auto it = watches.find(fd);
  const auto action = std::move(it->second.action);
  watches.erase(it);
  action();
}

gboolean HangupWatcher::onReady(gint fd, GIOCondition /*condition*/,
                                gpointer data) {
  static_cast<HangupWatcher *>(data)->onHangup(fd);
  return G_SOURCE_REMOVE;
}

} // namespace plantainhatch
