/** \file
 * An HTTP listener with limits. */
#ifndef PLANTAINHATCH_CONNECTION_HTTPSERVER_H
#define PLANTAINHATCH_CONNECTION_HTTPSERVER_H

#include "base/Address.h"
#include "base/Finding.h"
#include "connection/IncomingCall.h"

#include <functional>
#include <memory>
#include <string>

namespace plantainhatch {

/** Listens and hands over requests whose body has been read. Requests over the
 * limits are answered here, with the outcome not-run. Used on the main loop
 * only. */
class HttpServer {
public:
  using Handler = std::function<void(const IncomingCallPtr &)>;

  static constexpr std::size_t MaxHeaderBytes = 16UL * 1024;
  /** Bodies of requests are held in memory, as they may have to be sent again.
   */
  static constexpr std::size_t MaxBodyBytes = 1024UL * 1024;

  /** Listens. \return the server, or a finding for \p field if the address
   * cannot be used. */
  static Checked<std::unique_ptr<HttpServer>>
  listen(const Address &address, const std::string &field, Handler handler);

  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  HttpServer(HttpServer &&) = delete;
  HttpServer &operator=(HttpServer &&) = delete;

private:
  explicit HttpServer(Handler handler);

  GObjectPtr<SoupServer> server;
  Handler handler;

  static void onRequestStarted(SoupServer *server, SoupServerMessage *message,
                               gpointer data);
  static void onEarly(SoupServer *server, SoupServerMessage *message,
                      const char *path, GHashTable *query, gpointer data);
  static void onRequest(SoupServer *server, SoupServerMessage *message,
                        const char *path, GHashTable *query, gpointer data);
};

} // namespace plantainhatch

#endif
