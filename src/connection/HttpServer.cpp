#include "connection/HttpServer.h"

#include <utility>
#include <vector>

namespace plantainhatch {

Checked<std::unique_ptr<HttpServer>>
HttpServer::listen(const Address &address, const std::string &field,
                   Handler handler, Predicate mayRunBeside) {
  std::unique_ptr<HttpServer> server(
      new HttpServer(std::move(handler), std::move(mayRunBeside)));
  auto socket = ListeningSocket::listen(
      address, field, [raw = server.get()](StreamSocket connection) {
        raw->connections.push_back(*ServerConnection::serve(
            std::move(connection), raw->handler, raw->mayRunBeside));
      });
  if (!socket)
    return std::move(socket).error();
  server->socket = std::move(socket).value();
  return server;
}

HttpServer::~HttpServer() {
  socket.reset();
  std::vector<boost::intrusive_ptr<ServerConnection>> open;
  for (ServerConnection &it : connections)
    open.emplace_back(&it);
  // What was answered may still be on its way out; nothing is taken in.
  for (const auto &it : open)
    it->closeWhenIdle();
}

} // namespace plantainhatch
