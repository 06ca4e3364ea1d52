/** \file
 * Gives a connection up and tells when the peer has let go of it. */
#ifndef PLANTAINHATCH_CONNECTION_LINGERINGCLOSE_H
#define PLANTAINHATCH_CONNECTION_LINGERINGCLOSE_H

#include <glib.h>

#include <cstddef>
#include <functional>

namespace plantainhatch {

/** Closes the sending side of a connection, reads and forgets what still comes,
 * and ends when the peer closes its side. A server that heeds a caller's
 * leaving stops the work and closes at once; one that doesn't closes when it
 * has answered. In both cases the work is over at that moment and not before,
 * which a plain close would never tell. Used on the main loop only. */
class LingeringClose {
public:
  using Action = std::function<void()>;

  /** What a peer may still send. One that sends more streams an answer and does
   * not read; it is cut, and sees that at its next write. */
  static constexpr std::size_t MaxDiscarded = 256UL * 1024;

  /** Starts. Lives until the peer has closed, or has been cut.
   * \param fd is a socket, which is closed at the end.
   * \param over is called once, from the main loop. */
  static void start(int fd, Action over);

private:
  int fd;
  Action over;
  std::size_t discarded = 0;

  LingeringClose(int fd, Action over);
  bool discard();
  static gboolean onReadable(gint fd, GIOCondition condition, gpointer data);
};

} // namespace plantainhatch

#endif
