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
  Receiver receiver;

  ListeningSocket(int fd, Receiver receiver);

  void onReady(std::uint32_t events) override;
};

} // namespace plantainhatch

#endif
