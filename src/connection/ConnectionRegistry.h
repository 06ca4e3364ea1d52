/** \file
 * Reaches the socket of a message that the library has sent. */
#ifndef PLANTAINHATCH_CONNECTION_CONNECTIONREGISTRY_H
#define PLANTAINHATCH_CONNECTION_CONNECTIONREGISTRY_H

#include "connection/GObjectPtr.h"

#include <libsoup/soup.h>

#include <map>

namespace plantainhatch {

/** The sockets of a session by the library's connection number. The library
 * reports the end of a chunked body also when the connection was closed between
 * two chunks; whether it is still open tells the two apart. Used on the main
 * loop only. */
class ConnectionRegistry {
public:
  /** The registry of a session, which lives as long as the session. */
  static ConnectionRegistry &of(SoupSession *session);

  /** Follows the connection that \p message will use. */
  void follow(SoupMessage *message);

  /** True if the connection of \p message is open for sure. \pre follow() was
   * called, and the head of the answer has come. */
  bool isOpen(SoupMessage *message);

  /** Closes the sending side of the connection of \p message.
   * \return false if there is no connection, or no more.
   * \pre follow() was called, and the library has not finished the message. */
  bool closeSending(SoupMessage *message);

private:
  std::map<guint64, GObjectPtr<GSocket>> sockets;

  void add(guint64 connection, GSocket *socket);
  static void onNetworkEvent(SoupMessage *message, GSocketClientEvent event,
                             GIOStream *stream, gpointer data);
};

} // namespace plantainhatch

#endif
