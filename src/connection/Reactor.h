/** \file
 * Tells owners of sockets when these are ready. */
#ifndef PLANTAINHATCH_CONNECTION_REACTOR_H
#define PLANTAINHATCH_CONNECTION_REACTOR_H

#include <glib.h>

#include <cstdint>
#include <unordered_map>

namespace plantainhatch {

/** Told when a socket is ready. */
class ReadyHandler {
public:
  /** \param events are those of epoll, such as EPOLLIN. */
  virtual void onReady(std::uint32_t events) = 0;

protected:
  ~ReadyHandler() = default;
};

/** Many sockets behind one source of the main loop, whose cost grows with its
 * sources. Used on the main loop's thread only. */
class Reactor {
public:
  static Reactor &instance();

  /** Watches \p fd until remove(). \pre The handler lives as long. */
  void add(int fd, std::uint32_t events, ReadyHandler &handler);
  /** Changes what is watched. \pre \p fd was added. */
  void modify(int fd, std::uint32_t events);
  /** \pre \p fd was added and is still open. */
  void remove(int fd);

private:
  /** One add(). The number of a closed socket may be in use again before the
   * last event of the old one is looked at. */
  struct Watch {
    ReadyHandler *handler = nullptr;
    std::uint32_t serial = 0;
  };

  int epoll;
  std::unordered_map<int, Watch> watches;
  std::uint32_t lastSerial = 0;

  Reactor();

  void dispatch();
  static gboolean onReadable(gint fd, GIOCondition condition, gpointer data);
};

} // namespace plantainhatch

#endif
