#include "support/HttpClient.h"

#include "connection/Timer.h"
#include "operator/MainLoop.h"

#include <array>

namespace plantainhatch::test {

namespace {

/** One request under way, owned by its callback. */
struct Pending {
  GObjectPtr<SoupMessage> message;
  GObjectPtr<GCancellable> cancellable{g_cancellable_new()};
  Timer timer;
  std::function<void(HttpAnswer)> done;
};

HttpAnswer readAnswer(SoupMessage *message, GBytes *body) {
  HttpAnswer answer;
  answer.status = soup_message_get_status(message);
  answer.body = toString(body);
  SoupMessageHeadersIter it;
  soup_message_headers_iter_init(&it,
                                 soup_message_get_response_headers(message));
  const char *name = nullptr;
  const char *value = nullptr;
  while (soup_message_headers_iter_next(&it, &name, &value) != FALSE)
    answer.headers.emplace_back(name, value);
  return answer;
}

} // namespace

std::string HttpAnswer::header(const std::string &name) const {
  return findHeader(headers, name).value_or("");
}

HttpClient::HttpClient() : session(makeSoupSession()) {}

HttpAnswer HttpClient::send(const Address &address, const std::string &method,
                            const std::string &target,
                            const HeaderList &headers, const std::string &body,
                            std::chrono::milliseconds limit) {
  return await<HttpAnswer>([&](const std::function<void(HttpAnswer)> &done) {
    sendAsync(address, method, target, headers, body, limit, done);
  });
}

GObjectPtr<GCancellable>
HttpClient::sendAsync(const Address &address, const std::string &method,
                      const std::string &target, const HeaderList &headers,
                      const std::string &body, std::chrono::milliseconds limit,
                      std::function<void(HttpAnswer)> done) {
  auto *const pending = new Pending;
  pending->done = std::move(done);
  const std::string uri = "http://" + address.toString() + target;
  pending->message.reset(soup_message_new(method.c_str(), uri.c_str()));
  SoupMessageHeaders *const list =
      soup_message_get_request_headers(pending->message.get());
  for (const auto &[name, value] : headers)
    soup_message_headers_append(list, name.c_str(), value.c_str());
  if (!body.empty()) {
    const GBytesPtr bytes(g_bytes_new(body.data(), body.size()));
    soup_message_set_request_body_from_bytes(pending->message.get(),
                                             "text/plain", bytes.get());
  }
  GObjectPtr<GCancellable> cancellable(
      G_CANCELLABLE(g_object_ref(pending->cancellable.get())));
  pending->timer.startOnce(
      limit, [pending] { g_cancellable_cancel(pending->cancellable.get()); });
  soup_session_send_and_read_async(
      session.get(), pending->message.get(), G_PRIORITY_DEFAULT,
      pending->cancellable.get(),
      [](GObject *source, GAsyncResult *result, gpointer data) {
        const std::unique_ptr<Pending> owned(static_cast<Pending *>(data));
        const GBytesPtr bytes(soup_session_send_and_read_finish(
            SOUP_SESSION(source), result, nullptr));
        owned->done(bytes ? readAnswer(owned->message.get(), bytes.get())
                          : HttpAnswer{});
      },
      pending);
  return cancellable;
}

HttpClient::Download HttpClient::download(const Address &address,
                                          const std::string &target) {
  constexpr std::size_t BufferBytes = 64UL * 1024;
  Download result;
  const std::string uri = "http://" + address.toString() + target;
  const GObjectPtr<SoupMessage> message(soup_message_new("GET", uri.c_str()));
  const GObjectPtr<GInputStream> stream(
      soup_session_send(session.get(), message.get(), nullptr, nullptr));
  if (!stream)
    return result;
  const std::unique_ptr<GChecksum, decltype(&g_checksum_free)> checksum(
      g_checksum_new(G_CHECKSUM_SHA256), g_checksum_free);
  std::array<char, BufferBytes> buf;
  gssize n = 0;
  while ((n = g_input_stream_read(stream.get(), buf.data(), buf.size(), nullptr,
                                  nullptr)) > 0) {
    g_checksum_update(checksum.get(),
                      reinterpret_cast<const guchar *>(buf.data()), n);
    result.length += static_cast<std::uint64_t>(n);
  }
  result.isWhole = n == 0;
  result.digest = g_checksum_get_string(checksum.get());
  return result;
}

std::string HttpClient::exchangeRaw(const Address &address,
                                    const std::string &raw) {
  constexpr std::size_t BufferBytes = 64UL * 1024;
  constexpr unsigned TimeoutSeconds = 10;
  const GObjectPtr<GSocketClient> client(g_socket_client_new());
  g_socket_client_set_timeout(client.get(), TimeoutSeconds);
  const GObjectPtr<GSocketConnection> connection(
      g_socket_client_connect_to_host(client.get(), address.toString().c_str(),
                                      address.port, nullptr, nullptr));
  if (!connection)
    return {};
  GIOStream *const stream = G_IO_STREAM(connection.get());
  g_output_stream_write_all(g_io_stream_get_output_stream(stream), raw.data(),
                            raw.size(), nullptr, nullptr, nullptr);
  std::string all;
  std::array<char, BufferBytes> buf;
  gssize n = 0;
  while ((n = g_input_stream_read(g_io_stream_get_input_stream(stream),
                                  buf.data(), buf.size(), nullptr, nullptr)) >
         0)
    all.append(buf.data(), static_cast<std::size_t>(n));
  return all;
}

} // namespace plantainhatch::test
