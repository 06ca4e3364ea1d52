/** \file
 * A TCP socket that takes connections. */
#ifndef PLANTAINHATCH_CONNECTION_LISTENINGSOCKET_H
#define PLANTAINHATCH_CONNECTION_LISTENINGSOCKET_H

#include "base/Address.h"
#include "base/Finding.h"
#include "connection/Reactor.h"
#include "connection/StreamSocket.h"

#include <functional>
#include <memory>
#include <string>

namespace plantainhatch {

/** Listens until it is destroyed. Used on the main loop only. */
class ListeningSocket : private ReadyHandler {
public:
  /** Called with each connection. */
  using Receiver = std::function<void(StreamSocket)>;

  /** \return the socket, or a finding for \p field if the address cannot be
   * used. */
  static Checked<std::unique_ptr<ListeningSocket>>
  listen(const Address &address, const std::string &field, Receiver receiver);

  ~ListeningSocket();
  ListeningSocket(const ListeningSocket &) = delete;
  ListeningSocket &operator=(const ListeningSocket &) = delete;
  ListeningSocket(ListeningSocket &&) = delete;
  ListeningSocket &operator=(ListeningSocket &&) = delete;

private:
  int fd;
  /** Kept so that a connection can be closed when no descriptor is left; else
   * it would wait, and wake the main loop without end. Negative if there is
   * none. */
  int spareFd;
  Receiver receiver;

  ListeningSocket(int fd, Receiver receiver);

  /** \return false if no connection was waiting. */
  bool rejectOne();
  void onReady(std::uint32_t events) override;
};

} // namespace plantainhatch

#endif
