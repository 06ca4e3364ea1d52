#include "connection/ServerConnection.h"

#include "request/HeaderNames.h"
#include "request/HttpStatus.h"
#include "request/Outcome.h"

#include <sys/epoll.h>

#include <utility>

namespace plantainhatch {

namespace {

using ConnectionPtr = boost::intrusive_ptr<ServerConnection>;

constexpr std::size_t ReadBytes = 16UL * 1024;
constexpr std::size_t SmallBodyBytes = 64UL * 1024;
/** From here on, requests with longer bodies make room, so that the rest is
 * left to answers and to small requests. */
constexpr std::size_t LongBodyLimit = BufferBudget::Limit / 4 * 3;

bool mustMakeRoom(std::size_t bodyBytes) {
  const BufferBudget &budget = BufferBudget::instance();
  return bodyBytes > SmallBodyBytes ? budget.usedBytes() >= LongBodyLimit
                                    : bodyBytes > 0 && budget.isExhausted();
}

} // namespace

ConnectionPtr ServerConnection::serve(StreamSocket socket,
                                      const Handler &handler) {
  const ConnectionPtr connection(
      new ServerConnection(std::move(socket), handler));
  // Released by end().
  intrusive_ptr_add_ref(connection.get());
  connection->socket.watch(*connection, EPOLLRDHUP);
  return connection;
}

ServerConnection::ServerConnection(StreamSocket newSocket,
                                   const Handler &handler)
    : socket(std::move(newSocket)), handler(&handler) {}

void ServerConnection::onReady(std::uint32_t events) {
  const ConnectionPtr self(this);
  // Requests that are read together with the end of their connection have been
  // given up, and are not begun.
  hasPeerEnded =
      hasPeerEnded || (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  if ((events & EPOLLOUT) != 0 && !socket.flush()) {
    onBroken();
    return;
  }
  if (!socket.hasQueued() && writtenAction)
    std::exchange(writtenAction, nullptr)();
  if (!isDone && (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
    readMore();
  if (isDone)
    return;
  if (isClosing && !isLingering && call == nullptr && !socket.hasQueued())
    linger();
  else
    parse();
  // A peer that closes while its request is served has gone; the rest of its
  // input no longer matters.
  if (!isDone && hasPeerEnded)
    onPeerEnded();
}

void ServerConnection::readMore() {
  while (input.size() < MaxReadAhead) {
    const auto result = socket.read(input, ReadBytes);
    if (result == StreamSocket::ReadResult::Bytes) {
      if (isLingering)
        input.clear();
      continue;
    }
    if (result == StreamSocket::ReadResult::End)
      hasPeerEnded = true;
    else if (result == StreamSocket::ReadResult::Broken)
      onBroken();
    break;
  }
  if (isDone)
    return;
  chargeBuffers();
  socket.setReading(input.size() < MaxReadAhead && !hasPeerEnded);
  if (hasPeerEnded)
    onPeerEnded();
}

void ServerConnection::parse() {
  if (std::exchange(isParsing, true))
    return;
  const ConnectionPtr self(this);
  while (!isDone && call == nullptr && !isClosing && !hasPeerEnded &&
         !input.empty() && parseOne()) {
  }
  isParsing = false;
  if (!isDone && input.size() < MaxReadAhead && !hasPeerEnded)
    socket.setReading(true);
}

bool ServerConnection::parseOne() {
  const bool hadHead = reader.hasHead();
  const std::size_t n = reader.feed(input);
  if (n == input.size())
    input = {};
  else
    input.erase(0, n);
  chargeBuffers();
  if (!hadHead && reader.state() == HttpMessageReader::State::Body &&
      findHeader(reader.headers, "Expect") &&
      reader.contentLength.value_or(0) <= MaxBodyBytes)
    send("HTTP/1.1 100 Continue\r\n\r\n");
  const auto before = reader.state();
  updateArrivalTimer(hadHead);
  onReaderState();
  return before == HttpMessageReader::State::Complete;
}

void ServerConnection::onReaderState() {
  using State = HttpMessageReader::State;
  const bool isTooLarge =
      reader.hasHead() && (reader.contentLength.value_or(0) > MaxBodyBytes ||
                           reader.body.size() > MaxBodyBytes);
  if (reader.state() == State::HeadTooLarge)
    refuse(httpStatus::HeaderFieldsTooLarge,
           "the headers are larger than 16 KiB\n");
  else if (reader.state() == State::Malformed)
    refuse(httpStatus::BadRequest, "the request is not HTTP/1.1\n");
  else if (isTooLarge)
    refuse(httpStatus::ContentTooLarge, "the body is larger than 1 MiB\n");
  else if (mustMakeRoom(reader.body.size()))
    refuse(httpStatus::ServiceUnavailable,
           "the buffers of this node hold " +
               std::to_string(BufferBudget::instance().usedBytes()) + " of " +
               std::to_string(BufferBudget::Limit) + " bytes\n",
           {{headers::RetryAfter, "1"}});
  else if (reader.state() == State::Complete)
    handOver();
}

void ServerConnection::updateArrivalTimer(bool hadHead) {
  using State = HttpMessageReader::State;
  const bool isArriving =
      (reader.state() == State::Head && !reader.isFresh()) ||
      reader.state() == State::Body;
  if (!isArriving)
    arrivalTimer.stop();
  else if (!hadHead && reader.hasHead())
    arrivalTimer.startOnce(MaxArrivalTime, [this] { onArrivalTimeout(); });
  else if (!arrivalTimer.isRunning())
    arrivalTimer.startOnce(MaxHeadTime, [this] { onArrivalTimeout(); });
}

void ServerConnection::onArrivalTimeout() {
  if (call == nullptr && !isDone && !isClosing)
    refuse(httpStatus::RequestTimeout,
           "the request has not arrived whole in time\n");
}

void ServerConnection::chargeBuffers() {
  charge.set(input.capacity() + reader.body.capacity() + servedBodyBytes);
}

void ServerConnection::handOver() {
  CallRequest request;
  request.method = reader.method();
  request.target = std::move(reader.target);
  request.headers = std::move(reader.headers);
  servedBodyBytes = reader.body.capacity();
  request.body = std::exchange(reader.body, {});
  const IncomingCallPtr incoming(new IncomingCall(this, std::move(request)));
  call = incoming.get();
  (*handler)(incoming);
}

void ServerConnection::refuse(unsigned status, const std::string &text,
                              HeaderList list) {
  reader.body = {};
  chargeBuffers();
  list.emplace_back(headers::Outcome, toString(Outcome::NotRun));
  list.emplace_back("Content-Type", "text/plain");
  const IncomingCallPtr incoming(new IncomingCall(this, {}));
  call = incoming.get();
  incoming->closeAfterAnswer();
  incoming->reply(status, list, text);
}

void ServerConnection::sendThen(std::string_view bytes, Action written) {
  if (isDone)
    return;
  const ConnectionPtr self(this);
  if (!socket.write(bytes)) {
    onBroken();
    return;
  }
  if (!written)
    return;
  if (socket.hasQueued())
    writtenAction = std::move(written);
  else
    written();
}

void ServerConnection::onAnswered(bool mustClose) {
  call = nullptr;
  if (isDone)
    return;
  const ConnectionPtr self(this);
  if (mustClose || isClosing) {
    isClosing = true;
    if (!socket.hasQueued())
      linger();
    return;
  }
  reader.restart();
  servedBodyBytes = 0;
  chargeBuffers();
  if (hasPeerEnded)
    onPeerEnded();
  else
    parse();
}

void ServerConnection::onPeerEnded() {
  hasPeerEnded = true;
  if (call != nullptr) {
    IncomingCall *const gone = std::exchange(call, nullptr);
    const IncomingCallPtr held(gone);
    const ConnectionPtr self(this);
    socket.reset();
    end();
    held->leave();
    return;
  }
  end();
}

void ServerConnection::onBroken() {
  const ConnectionPtr self(this);
  const IncomingCallPtr held(std::exchange(call, nullptr));
  end();
  if (held)
    held->leave();
}

void ServerConnection::reset() {
  call = nullptr;
  if (isDone)
    return;
  socket.reset();
  end();
}

void ServerConnection::closeWhenIdle() {
  isClosing = true;
  if (call == nullptr && !socket.hasQueued())
    linger();
}

void ServerConnection::linger() {
  if (isDone || isLingering)
    return;
  isLingering = true;
  input.clear();
  socket.closeSending();
  socket.setReading(true);
  const ConnectionPtr self(this);
  lingerTimer.startOnce(LingerTime, [self] { self->end(); });
}

void ServerConnection::end() {
  if (std::exchange(isDone, true))
    return;
  socket.close();
  unlink();
  writtenAction = nullptr;
  input = {};
  charge.set(0);
  arrivalTimer.stop();
  // The timer's action may be what runs now.
  const ConnectionPtr self(this, false);
  if (lingerTimer.isRunning())
    lingerTimer.stop();
}

} // namespace plantainhatch
