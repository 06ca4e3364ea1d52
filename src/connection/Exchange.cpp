#include "connection/Exchange.h"

#include <algorithm>

namespace plantainhatch {

namespace {

constexpr gsize ChunkBytes = 64UL * 1024;

struct GUriUnref {
  void operator()(GUri *uri) const { g_uri_unref(uri); }
};
using GUriPtr = std::unique_ptr<GUri, GUriUnref>;

/** Builds the URI from its parts, so that path and query go out exactly as they
 * came in. */
GUriPtr buildUri(const Address &address, const std::string &target) {
  const auto question = target.find('?');
  const std::string path = target.substr(0, question);
  const std::string query =
      question == std::string::npos ? "" : target.substr(question + 1);
  const char *const queryOrNull =
      question == std::string::npos ? nullptr : query.c_str();
  return GUriPtr(g_uri_build(static_cast<GUriFlags>(SOUP_HTTP_URI_FLAGS),
                             "http", nullptr, address.host.c_str(),
                             address.port, path.c_str(), queryOrNull, nullptr));
}

} // namespace

boost::intrusive_ptr<Exchange> Exchange::start(SoupSession *session,
                                               const CallRequest &request,
                                               const ExchangeOptions &options,
                                               HeadReceiver receiver) {
  const boost::intrusive_ptr<Exchange> exchange(
      new Exchange(session, std::move(receiver)));
  if (exchange->prepare(request, options))
    exchange->send();
  else
    exchange->headReceiver(
        ExchangeError{true, "the request cannot be expressed"});
  return exchange;
}

Exchange::Exchange(SoupSession *session, HeadReceiver receiver)
    : session(refGObject(session)), cancellable(g_cancellable_new()),
      headReceiver(std::move(receiver)) {}

Exchange::~Exchange() {
  if (message)
    g_signal_handlers_disconnect_by_data(message.get(), this);
}

bool Exchange::prepare(const CallRequest &request,
                       const ExchangeOptions &options) {
  const GUriPtr uri = buildUri(options.address, request.target);
  message.reset(soup_message_new_from_uri(request.method.c_str(), uri.get()));
  if (!message)
    return false;
  const unsigned fresh =
      options.needsFreshConnection
          ? static_cast<unsigned>(SOUP_MESSAGE_NEW_CONNECTION)
          : 0U;
  soup_message_set_flags(message.get(), static_cast<SoupMessageFlags>(
                                            SOUP_MESSAGE_NO_REDIRECT | fresh));
  SoupMessageHeaders *const headers =
      soup_message_get_request_headers(message.get());
  const auto append = [headers](const auto &header) {
    soup_message_headers_append(headers, header.first.c_str(),
                                header.second.c_str());
  };
  std::ranges::for_each(request.headers, append);
  std::ranges::for_each(options.extraHeaders, append);
  if (!request.body.empty() || !isSafeMethod(request.method)) {
    const GBytesPtr bytes(
        g_bytes_new(request.body.data(), request.body.size()));
    soup_message_set_request_body_from_bytes(message.get(), nullptr,
                                             bytes.get());
  }
  g_signal_connect(message.get(), "starting", G_CALLBACK(onStarting), this);
  g_signal_connect(message.get(), "finished", G_CALLBACK(onFinished), this);
  preventHiddenResend(message.get(), cancellable.get());
  ConnectionRegistry::of(session.get()).follow(message.get());
  return true;
}

void Exchange::send() {
  intrusive_ptr_add_ref(this);
  soup_session_send_async(session.get(), message.get(), G_PRIORITY_DEFAULT,
                          cancellable.get(), onSent, this);
}

void Exchange::read(ChunkReceiver receiver) {
  chunkReceiver = std::move(receiver);
  readNext();
}

void Exchange::readNext() {
  isReading = true;
  intrusive_ptr_add_ref(this);
  g_input_stream_read_bytes_async(body.get(), ChunkBytes, G_PRIORITY_DEFAULT,
                                  cancellable.get(), onRead, this);
}

void Exchange::cancel() {
  isCancelled = true;
  headReceiver = nullptr;
  chunkReceiver = nullptr;
  g_cancellable_cancel(cancellable.get());
}

void Exchange::giveUp(Action over) {
  const bool isAtPeer =
      wasSent && !isFinished && !isCancelled &&
      ConnectionRegistry::of(session.get()).closeSending(message.get());
  if (!isAtPeer) {
    cancel();
    over();
    return;
  }
  headReceiver = nullptr;
  chunkReceiver = nullptr;
  overAction = std::move(over);
  if (body && !isReading)
    discardNext();
}

void Exchange::discardNext() {
  // Nothing can be sent on this connection any more.
  soup_message_headers_replace(soup_message_get_response_headers(message.get()),
                               "Connection", "close");
  readNext();
}

void Exchange::onDiscarded(bool isBroken, GBytes *bytes) {
  const std::size_t n = bytes == nullptr ? 0 : g_bytes_get_size(bytes);
  discarded += n;
  if (isBroken || n == 0 || discarded > MaxDiscarded)
    finishGiveUp();
  else
    discardNext();
}

void Exchange::finishGiveUp() {
  const Action over = std::exchange(overAction, nullptr);
  cancel();
  over();
}

void Exchange::finishHead(GAsyncResult *result) {
  GError *rawError = nullptr;
  body.reset(soup_session_send_finish(session.get(), result, &rawError));
  const GErrorPtr error(rawError);
  if (overAction) {
    if (error)
      finishGiveUp();
    else
      discardNext();
    return;
  }
  const auto receiver = std::exchange(headReceiver, nullptr);
  if (isCancelled || !receiver)
    return;
  if (error) {
    receiver(ExchangeError{!wasSent, error->message});
    return;
  }
  receiver(readHead());
}

AnswerHead Exchange::readHead() const {
  AnswerHead head;
  head.status = soup_message_get_status(message.get());
  SoupMessageHeaders *const headers =
      soup_message_get_response_headers(message.get());
  if (soup_message_headers_get_encoding(headers) ==
      SOUP_ENCODING_CONTENT_LENGTH)
    head.contentLength = static_cast<std::uint64_t>(
        soup_message_headers_get_content_length(headers));
  SoupMessageHeadersIter it;
  soup_message_headers_iter_init(&it, headers);
  const char *name = nullptr;
  const char *value = nullptr;
  while (soup_message_headers_iter_next(&it, &name, &value) != FALSE)
    head.headers.emplace_back(name, value);
  return head;
}

bool Exchange::isBodyWhole() const {
  SoupMessageHeaders *const headers =
      soup_message_get_response_headers(message.get());
  if (soup_message_headers_get_encoding(headers) != SOUP_ENCODING_CHUNKED)
    return true;
  // After the last chunk the connection is kept, unless the answer said that it
  // would be closed.
  return soup_message_headers_header_contains(headers, "Connection", "close") !=
             FALSE ||
         ConnectionRegistry::of(session.get()).isOpen(message.get());
}

void Exchange::finishRead(GAsyncResult *result) {
  GError *rawError = nullptr;
  GBytesPtr bytes(
      g_input_stream_read_bytes_finish(body.get(), result, &rawError));
  const GErrorPtr error(rawError);
  isReading = false;
  if (overAction) {
    onDiscarded(error != nullptr, bytes.get());
    return;
  }
  const auto receiver = std::exchange(chunkReceiver, nullptr);
  if (isCancelled || !receiver)
    return;
  if (error || !bytes)
    receiver(BodyBroken{});
  else if (g_bytes_get_size(bytes.get()) == 0)
    receiver(isBodyWhole() ? Chunk(BodyEnd{}) : Chunk(BodyBroken{}));
  else
    receiver(std::move(bytes));
}

void Exchange::onStarting(SoupMessage * /*message*/, gpointer data) {
  static_cast<Exchange *>(data)->wasSent = true;
}

void Exchange::onFinished(SoupMessage * /*message*/, gpointer data) {
  static_cast<Exchange *>(data)->isFinished = true;
}

void Exchange::onSent(GObject * /*session*/, GAsyncResult *result,
                      gpointer data) {
  const boost::intrusive_ptr<Exchange> self(static_cast<Exchange *>(data),
                                            false);
  self->finishHead(result);
}

void Exchange::onRead(GObject * /*stream*/, GAsyncResult *result,
                      gpointer data) {
  const boost::intrusive_ptr<Exchange> self(static_cast<Exchange *>(data),
                                            false);
  self->finishRead(result);
}

} // namespace plantainhatch
