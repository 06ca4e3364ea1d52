/** \file
 * An HTTP listener with limits. */
#ifndef PLANTAINHATCH_CONNECTION_HTTPSERVER_H
#define PLANTAINHATCH_CONNECTION_HTTPSERVER_H

#include "base/Address.h"
#include "base/Finding.h"
#include "connection/IncomingCall.h"
#include "connection/ListeningSocket.h"
#include "connection/ServerConnection.h"

#include <memory>
#include <string>

namespace plantainhatch {

/** Listens and hands over requests whose body has been read. Requests over the
 * limits are answered here, with the outcome not-run. Used on the main loop
 * only. */
class HttpServer {
public:
  using Handler = ServerConnection::Handler;
  using Predicate = ServerConnection::Predicate;

  /** Listens. \param mayRunBeside tells whether a request may run at the same
   * time as others of its connection for which it holds as well. Without it,
   * the requests of a connection run in turn. \return the server, or a finding
   * for \p field if the address cannot be used. */
  static Checked<std::unique_ptr<HttpServer>>
  listen(const Address &address, const std::string &field, Handler handler,
         Predicate mayRunBeside = nullptr);

  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  HttpServer(HttpServer &&) = delete;
  HttpServer &operator=(HttpServer &&) = delete;

private:
  using ConnectionList =
      boost::intrusive::list<ServerConnection,
                             boost::intrusive::constant_time_size<false>>;

  Handler handler;
  Predicate mayRunBeside;
  std::unique_ptr<ListeningSocket> socket;
  ConnectionList connections;

  HttpServer(Handler handler, Predicate mayRunBeside)
      : handler(std::move(handler)), mayRunBeside(std::move(mayRunBeside)) {}
};

} // namespace plantainhatch

#endif
