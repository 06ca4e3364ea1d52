#include "connection/HttpServer.h"

#include "connection/PeerSocket.h"
#include "request/HeaderNames.h"
#include "request/Outcome.h"

#include <string_view>

namespace plantainhatch {

namespace {

/** Not among the names of the library. */
constexpr guint HeaderFieldsTooLarge = 431;

void refuse(SoupServerMessage *message, guint status, std::string_view text) {
  SoupMessageHeaders *const headers =
      soup_server_message_get_response_headers(message);
  soup_message_headers_replace(headers, headers::Outcome,
                               toString(Outcome::NotRun).data());
  soup_message_headers_replace(headers, "Connection", "close");
  soup_server_message_set_status(message, status, nullptr);
  soup_server_message_set_response(message, "text/plain", SOUP_MEMORY_COPY,
                                   text.data(), text.size());
}

std::size_t headerBytes(SoupServerMessage *message) {
  static constexpr std::size_t SeparatorBytes = 4;
  SoupMessageHeadersIter it;
  soup_message_headers_iter_init(
      &it, soup_server_message_get_request_headers(message));
  const char *name = nullptr;
  const char *value = nullptr;
  std::size_t bytes = 0;
  while (soup_message_headers_iter_next(&it, &name, &value) != FALSE)
    bytes += std::string_view(name).size() + std::string_view(value).size() +
             SeparatorBytes;
  return bytes;
}

/** Bodies without a length are measured while they come in. */
void limitBody(SoupServerMessage *message) {
  g_signal_connect(
      message, "got-chunk",
      G_CALLBACK(+[](SoupServerMessage *chunked, GBytes * /*bytes*/, gpointer) {
        const auto n = soup_server_message_get_request_body(chunked)->length;
        if (n <= static_cast<goffset>(HttpServer::MaxBodyBytes) ||
            soup_server_message_get_status(chunked) != 0)
          return;
        refuse(chunked, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
               "the body is larger than 1 MiB\n");
      }),
      nullptr);
}

} // namespace

Checked<std::unique_ptr<HttpServer>>
HttpServer::listen(const Address &address, const std::string &field,
                   Handler handler) {
  std::unique_ptr<HttpServer> server(new HttpServer(std::move(handler)));
  const auto local = toSocketAddress(address);
  GError *error = nullptr;
  if (soup_server_listen(server->server.get(), local.get(),
                         static_cast<SoupServerListenOptions>(0),
                         &error) == FALSE) {
    const GErrorPtr owned(error);
    return Findings{
        {field, 0, 0, {}, address.toString() + ": " + owned->message}};
  }
  return server;
}

HttpServer::HttpServer(Handler newHandler)
    : server(SOUP_SERVER(g_object_new(SOUP_TYPE_SERVER, nullptr))),
      handler(std::move(newHandler)) {
  g_signal_connect(server.get(), "request-started",
                   G_CALLBACK(onRequestStarted), this);
  soup_server_add_early_handler(server.get(), nullptr, onEarly, this, nullptr);
  soup_server_add_handler(server.get(), nullptr, onRequest, this, nullptr);
}

HttpServer::~HttpServer() {
  g_signal_handlers_disconnect_by_data(server.get(), this);
  soup_server_disconnect(server.get());
}

void HttpServer::onRequestStarted(SoupServer * /*server*/,
                                  SoupServerMessage *message,
                                  gpointer /*data*/) {
  // Stands on the answer that the library itself gives to what it cannot parse.
  soup_message_headers_replace(
      soup_server_message_get_response_headers(message), headers::Outcome,
      toString(Outcome::NotRun).data());
}

void HttpServer::onEarly(SoupServer * /*server*/, SoupServerMessage *message,
                         const char * /*path*/, GHashTable * /*query*/,
                         gpointer /*data*/) {
  SoupMessageHeaders *const headers =
      soup_server_message_get_request_headers(message);
  if (headerBytes(message) > MaxHeaderBytes) {
    refuse(message, HeaderFieldsTooLarge,
           "the headers are larger than 16 KiB\n");
    return;
  }
  if (soup_message_headers_get_content_length(headers) >
      static_cast<goffset>(MaxBodyBytes)) {
    refuse(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
           "the body is larger than 1 MiB\n");
    return;
  }
  limitBody(message);
}

void HttpServer::onRequest(SoupServer * /*server*/, SoupServerMessage *message,
                           const char * /*path*/, GHashTable * /*query*/,
                           gpointer data) {
  if (soup_server_message_get_status(message) != 0)
    return;
  static_cast<HttpServer *>(data)->handler(IncomingCall::take(message));
}

} // namespace plantainhatch
