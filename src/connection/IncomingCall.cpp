#include "connection/IncomingCall.h"

#include "connection/HangupWatcher.h"

#include <sys/socket.h>

#include <algorithm>

namespace plantainhatch {

namespace {

/** Closes with a reset, which no receiver can take for the end of an answer. */
void resetConnection(GSocket *socket) {
  const linger option{1, 0};
  setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &option,
             sizeof option);
  g_socket_close(socket, nullptr);
}

} // namespace

IncomingCallPtr IncomingCall::take(SoupServerMessage *message) {
  IncomingCallPtr call(new IncomingCall(message));
  // Released when the library has finished the message.
  intrusive_ptr_add_ref(call.get());
  return call;
}

IncomingCall::IncomingCall(SoupServerMessage *raw) : message(refGObject(raw)) {
  soup_message_body_set_accumulate(soup_server_message_get_response_body(raw),
                                   FALSE);
  g_signal_connect(raw, "wrote-chunk", G_CALLBACK(onWroteChunk), this);
  g_signal_connect(raw, "finished", G_CALLBACK(onFinished), this);
  readRequest();
  watchHangup();
  soup_server_message_pause(raw);
}

IncomingCall::~IncomingCall() {
  stopWatching();
  g_signal_handlers_disconnect_by_data(message.get(), this);
}

void IncomingCall::readRequest() {
  callRequest.method = soup_server_message_get_method(message.get());
  GUri *const uri = soup_server_message_get_uri(message.get());
  callRequest.target = g_uri_get_path(uri);
  if (const char *const query = g_uri_get_query(uri))
    callRequest.target += std::string("?") + query;
  SoupMessageHeadersIter it;
  soup_message_headers_iter_init(
      &it, soup_server_message_get_request_headers(message.get()));
  const char *name = nullptr;
  const char *value = nullptr;
  while (soup_message_headers_iter_next(&it, &name, &value) != FALSE)
    callRequest.headers.emplace_back(name, value);
  const GBytesPtr body(soup_message_body_flatten(
      soup_server_message_get_request_body(message.get())));
  callRequest.body = toString(body.get());
}

std::string IncomingCall::remoteHost() const {
  const char *const host = soup_server_message_get_remote_host(message.get());
  return host == nullptr ? std::string() : std::string(host);
}

std::string IncomingCall::connectionName() const {
  GSocketAddress *const address =
      soup_server_message_get_remote_address(message.get());
  if (!G_IS_INET_SOCKET_ADDRESS(address))
    return {};
  return remoteHost() + ":" +
         std::to_string(
             g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address)));
}

void IncomingCall::watchHangup() {
  GSocket *const socket = soup_server_message_get_socket(message.get());
  if (socket == nullptr)
    return;
  // The library reads nothing while a message is paused, so it would not see
  // the caller go.
  watchedFd = g_socket_get_fd(socket);
  HangupWatcher::instance().watch(watchedFd, this, [this] { onHangup(); });
}

void IncomingCall::stopWatching() {
  if (watchedFd >= 0)
    HangupWatcher::instance().unwatch(watchedFd, this);
  watchedFd = -1;
}

void IncomingCall::reply(unsigned status, const HeaderList &headers,
                         const std::string &body) {
  setHead(status, headers);
  SoupMessageHeaders *const response =
      soup_server_message_get_response_headers(message.get());
  const bool mayHaveBody =
      status != SOUP_STATUS_NO_CONTENT && status != SOUP_STATUS_NOT_MODIFIED;
  if (mayHaveBody)
    soup_message_headers_set_content_length(response,
                                            static_cast<goffset>(body.size()));
  SoupMessageBody *const responseBody =
      soup_server_message_get_response_body(message.get());
  if (!body.empty() && callRequest.method != "HEAD")
    soup_message_body_append(responseBody, SOUP_MEMORY_COPY, body.data(),
                             body.size());
  endStream();
}

void IncomingCall::startStream(const AnswerHead &head) {
  setHead(head.status, head.headers);
  SoupMessageHeaders *const response =
      soup_server_message_get_response_headers(message.get());
  if (head.contentLength)
    soup_message_headers_set_content_length(
        response, static_cast<goffset>(*head.contentLength));
  else if (head.status != SOUP_STATUS_NO_CONTENT &&
           head.status != SOUP_STATUS_NOT_MODIFIED)
    soup_message_headers_set_encoding(response, SOUP_ENCODING_CHUNKED);
}

void IncomingCall::writeChunk(GBytes *bytes, Action written) {
  writtenAction = std::move(written);
  soup_message_body_append_bytes(
      soup_server_message_get_response_body(message.get()), bytes);
  resume();
}

void IncomingCall::endStream() {
  isEnded = true;
  soup_message_body_complete(
      soup_server_message_get_response_body(message.get()));
  resume();
}

void IncomingCall::abort() {
  if (isEnded)
    return;
  isEnded = true;
  goneAction = nullptr;
  writtenAction = nullptr;
  stopWatching();
  if (GSocket *const socket = soup_server_message_get_socket(message.get()))
    resetConnection(socket);
  if (soup_server_message_get_status(message.get()) == 0)
    soup_server_message_set_status(message.get(),
                                   SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
  resume();
}

void IncomingCall::setHead(unsigned status, const HeaderList &headers) {
  soup_server_message_set_status(message.get(), status, nullptr);
  SoupMessageHeaders *const response =
      soup_server_message_get_response_headers(message.get());
  soup_message_headers_clear(response);
  std::ranges::for_each(headers, [response](const auto &header) {
    soup_message_headers_append(response, header.first.c_str(),
                                header.second.c_str());
  });
  if (mustClose)
    soup_message_headers_replace(response, "Connection", "close");
}

void IncomingCall::resume() {
  if (std::exchange(isPaused, false))
    soup_server_message_unpause(message.get());
}

void IncomingCall::finish() {
  stopWatching();
  writtenAction = nullptr;
  const bool wasCut = !std::exchange(isEnded, true);
  const Action gone = std::exchange(goneAction, nullptr);
  if (wasCut && gone)
    gone();
  intrusive_ptr_release(this);
}

void IncomingCall::onWroteChunk(SoupServerMessage *message, gpointer data) {
  auto *const self = static_cast<IncomingCall *>(data);
  if (self->isEnded || !self->writtenAction)
    return;
  self->isPaused = true;
  soup_server_message_pause(message);
  const Action written = std::exchange(self->writtenAction, nullptr);
  written();
}

void IncomingCall::onFinished(SoupServerMessage * /*message*/, gpointer data) {
  static_cast<IncomingCall *>(data)->finish();
}

void IncomingCall::onHangup() {
  const IncomingCallPtr self(this);
  watchedFd = -1;
  if (isEnded)
    return;
  const Action gone = std::exchange(goneAction, nullptr);
  abort();
  if (gone)
    gone();
}

} // namespace plantainhatch
