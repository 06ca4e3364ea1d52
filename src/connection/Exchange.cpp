#include "connection/Exchange.h"

#include <sys/epoll.h>

#include <cstring>
#include <utility>

namespace plantainhatch {

namespace {

using ExchangePtr = boost::intrusive_ptr<Exchange>;

constexpr std::size_t ReadBytes = 16UL * 1024;

std::string serialize(const CallRequest &request,
                      const ExchangeOptions &options) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  if (!findHeader(request.headers, "Host"))
    text += "Host: " + options.address.toString() + "\r\n";
  for (const HeaderList *const list : {&request.headers, &options.extraHeaders})
    for (const auto &[name, value] : *list)
      text.append(name).append(": ").append(value).append("\r\n");
  if (!request.body.empty() || !isSafeMethod(request.method))
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  return text + "\r\n" + request.body;
}

} // namespace

ExchangePtr Exchange::start(HttpSession *session, const CallRequest &request,
                            const ExchangeOptions &options,
                            HeadReceiver receiver) {
  const ExchangePtr exchange(
      new Exchange(session, request, options, std::move(receiver)));
  exchange->begin(options);
  return exchange;
}

Exchange::Exchange(HttpSession *session, const CallRequest &request,
                   const ExchangeOptions &options, HeadReceiver receiver)
    : session(session), address(options.address),
      headReceiver(std::move(receiver)), message(serialize(request, options)) {
  if (request.method == "HEAD")
    reader.expectNoBody();
}

void Exchange::begin(const ExchangeOptions &options) {
  // Released by end().
  intrusive_ptr_add_ref(this);
  isHeld = true;
  if (!options.needsFreshConnection) {
    if (auto kept = session->take(address)) {
      socket = std::move(*kept);
      isOnKeptConnection = true;
      sendMessage();
      return;
    }
  }
  auto made = StreamSocket::connect(address);
  if (!made) {
    failSoon(std::strerror(errno));
    return;
  }
  socket = std::move(*made);
  socket.watch(*this, EPOLLOUT);
  timer.startOnce(options.connectLimit,
                  [this] { fail("no connection in time"); });
}

void Exchange::failSoon(std::string why) {
  failure = std::move(why);
  timer.startOnce(Duration(0), [this] { fail(failure); });
}

void Exchange::sendMessage() {
  state = State::Sent;
  sentAt = std::chrono::steady_clock::now();
  timer.stop();
  const bool isSound = socket.write(message);
  message.clear();
  if (isSound)
    socket.watch(*this, EPOLLRDHUP);
  else
    failSoon("the connection broke while the request was sent");
}

void Exchange::dropSilentConnections() {
  const bool isSilent =
      state == State::Sent && isOnKeptConnection && reader.isFresh() &&
      std::chrono::steady_clock::now() - sentAt >= SilenceLimit;
  if (isSilent)
    session->dropUnusedSince(address, sentAt);
}

void Exchange::onReady(std::uint32_t events) {
  const ExchangePtr self(this);
  if (state == State::Connecting) {
    onConnectable();
    return;
  }
  if ((events & EPOLLOUT) != 0 && !socket.flush()) {
    fail("the connection broke while the request was sent");
    return;
  }
  if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
    readMore();
}

void Exchange::onConnectable() {
  const int error = socket.connectError();
  if (error != 0) {
    fail(std::strerror(error));
    return;
  }
  socket.unwatch();
  sendMessage();
}

std::size_t Exchange::readAheadLimit() {
  return BufferBudget::instance().isExhausted() ? 1 : MaxReadAhead;
}

void Exchange::readMore() {
  std::string bytes;
  std::size_t total = 0;
  auto result = StreamSocket::ReadResult::Nothing;
  const auto mayReadOn = [&] {
    return result == StreamSocket::ReadResult::Bytes &&
           total < MaxReadPerTurn && reader.body.size() < readAheadLimit() &&
           (reader.state() == HttpMessageReader::State::Head ||
            reader.state() == HttpMessageReader::State::Body);
  };
  do {
    bytes.clear();
    result = socket.read(bytes, ReadBytes);
    if (result == StreamSocket::ReadResult::Bytes) {
      const std::size_t n = reader.feed(bytes);
      hasExtraBytes = hasExtraBytes || n < bytes.size();
    }
    total += bytes.size();
    charge.set(reader.body);
  } while (mayReadOn());
  if (result == StreamSocket::ReadResult::End)
    reader.feedEnd();
  const bool isBroken =
      result == StreamSocket::ReadResult::Broken ||
      reader.state() == HttpMessageReader::State::Malformed ||
      reader.state() == HttpMessageReader::State::HeadTooLarge;
  if (isBroken && !reader.isFresh())
    failure = "the answer broke off";
  else if (isBroken)
    failure = "the connection was closed without an answer";
  onProgress();
}

void Exchange::onProgress() {
  const ExchangePtr self(this);
  if (overAction) {
    discard();
    return;
  }
  if (state == State::Sent && reader.hasHead())
    deliverHead();
  else if (state == State::Sent && !failure.empty())
    fail(failure);
  if (state == State::Answered && chunkReceiver)
    deliverChunk();
  if (state == State::Answered && failure.empty() &&
      reader.state() != HttpMessageReader::State::Complete)
    socket.setReading(reader.body.size() < readAheadLimit());
  else if (state == State::Answered)
    // The rest waits for the reader of the body.
    socket.unwatch();
}

void Exchange::deliverHead() {
  state = State::Answered;
  if (const auto receiver = std::exchange(headReceiver, nullptr))
    receiver(makeHead());
}

AnswerHead Exchange::makeHead() {
  AnswerHead head;
  head.status = reader.status();
  head.contentLength = reader.contentLength;
  head.headers = std::move(reader.headers);
  return head;
}

void Exchange::read(ChunkReceiver receiver) {
  if (state != State::Answered)
    return;
  chunkReceiver = std::move(receiver);
  deliverChunk();
  if (state == State::Answered && socket.isOpen() && failure.empty() &&
      reader.state() == HttpMessageReader::State::Body)
    socket.setReading(true);
}

void Exchange::deliverChunk() {
  const ExchangePtr self(this);
  const bool isComplete = reader.state() == HttpMessageReader::State::Complete;
  if (reader.body.empty() && !isComplete && failure.empty())
    return;
  const auto receiver = std::exchange(chunkReceiver, nullptr);
  if (!reader.body.empty()) {
    const std::string bytes = std::exchange(reader.body, {});
    charge.set(0);
    receiver(GBytesPtr(g_bytes_new(bytes.data(), bytes.size())));
    return;
  }
  if (isComplete)
    release();
  end();
  if (isComplete)
    receiver(BodyEnd{});
  else
    receiver(BodyBroken{});
}

void Exchange::release() {
  const bool isReusable = reader.keepsAlive() && !hasExtraBytes &&
                          !socket.hasQueued() && socket.isOpen();
  if (!isReusable)
    return;
  socket.unwatch();
  session->keep(address, std::move(socket));
}

void Exchange::cancel() {
  headReceiver = nullptr;
  chunkReceiver = nullptr;
  if (state == State::Ended)
    return;
  const ExchangePtr self(this);
  dropSilentConnections();
  if (state == State::Answered &&
      reader.state() == HttpMessageReader::State::Complete)
    release();
  end();
}

void Exchange::giveUp(Action over) {
  const ExchangePtr self(this);
  const bool isAtPeer = (state == State::Sent || state == State::Answered) &&
                        failure.empty() &&
                        reader.state() != HttpMessageReader::State::Complete &&
                        socket.closeSending();
  if (!isAtPeer) {
    cancel();
    over();
    return;
  }
  dropSilentConnections();
  headReceiver = nullptr;
  chunkReceiver = nullptr;
  overAction = std::move(over);
  socket.watch(*this, EPOLLRDHUP);
}

void Exchange::discard() {
  discarded += reader.body.size();
  reader.body.clear();
  charge.set(reader.body);
  const bool isOver = !failure.empty() || discarded > MaxDiscarded ||
                      reader.state() == HttpMessageReader::State::Complete;
  if (isOver)
    finishGiveUp();
}

void Exchange::finishGiveUp() {
  const Action over = std::exchange(overAction, nullptr);
  end();
  over();
}

void Exchange::fail(const std::string &why) {
  const ExchangePtr self(this);
  if (overAction) {
    finishGiveUp();
    return;
  }
  dropSilentConnections();
  const ExchangeError error{!socket.hasSentAny(), why};
  const auto receiver = std::exchange(headReceiver, nullptr);
  const auto chunks = std::exchange(chunkReceiver, nullptr);
  end();
  if (receiver)
    receiver(error);
  else if (chunks)
    chunks(BodyBroken{});
}

void Exchange::end() {
  if (state == State::Ended)
    return;
  state = State::Ended;
  timer.stop();
  socket.close();
  charge.set(0);
  const ExchangePtr self(this);
  if (std::exchange(isHeld, false))
    intrusive_ptr_release(this);
}

} // namespace plantainhatch
