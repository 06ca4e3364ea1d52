#include "connection/LingeringClose.h"

#include <glib-unix.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace plantainhatch {

namespace {

constexpr std::size_t ReadBytes = 16UL * 1024;

} // namespace

void LingeringClose::start(int fd, Action over) {
  // Owned by its source.
  auto *const self = new LingeringClose(fd, std::move(over));
  shutdown(fd, SHUT_WR);
  g_unix_fd_add(fd, static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR),
                onReadable, self);
}

LingeringClose::LingeringClose(int fd, Action over)
    : fd(fd), over(std::move(over)) {}

bool LingeringClose::discard() {
  std::array<char, ReadBytes> buf{};
  const auto n = recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
  if (n < 0)
    return errno == EAGAIN || errno == EINTR;
  discarded += static_cast<std::size_t>(n);
  return n > 0 && discarded <= MaxDiscarded;
}

gboolean LingeringClose::onReadable(gint /*fd*/, GIOCondition /*condition*/,
                                    gpointer data) {
  auto *const self = static_cast<LingeringClose *>(data);
  if (self->discard())
    return G_SOURCE_CONTINUE;
  close(self->fd);
  const Action action = std::move(self->over);
  delete self;
  action();
  return G_SOURCE_REMOVE;
}

} // namespace plantainhatch
