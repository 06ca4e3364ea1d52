/** \file
 * Notices that the other side of a connection has gone. */
#ifndef PLANTAINHATCH_CONNECTION_HANGUPWATCHER_H
#define PLANTAINHATCH_CONNECTION_HANGUPWATCHER_H

#include <glib.h>

#include <functional>
#include <map>

namespace plantainhatch {

/** Watches sockets for the end of what the other side sends. Used on the main
 * loop's thread only. */
class HangupWatcher {
public:
  static HangupWatcher &instance();

  /** Calls \p action once when the other side of \p fd closes its connection.
   * \param owner must be given to unwatch() before \p fd is closed. */
  void watch(int fd, const void *owner, std::function<void()> action);
  /** Stops watching; nothing happens if \p owner does not watch \p fd. */
  void unwatch(int fd, const void *owner);

private:
  struct Watch {
    const void *owner = nullptr;
    std::function<void()> action;
    guint source = 0;
  };

  std::map<int, Watch> watches;

  HangupWatcher() = default;

  void onHangup(int fd);
  static gboolean onReady(gint fd, GIOCondition condition, gpointer data);
};

} // namespace plantainhatch

#endif
