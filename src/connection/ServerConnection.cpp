#include "connection/ServerConnection.h"

#include "request/HeaderNames.h"
#include "request/HttpStatus.h"
#include "request/Outcome.h"

#include <sys/epoll.h>

#include <algorithm>
#include <cassert>
#include <numeric>
#include <utility>

namespace plantainhatch {

namespace {

using ConnectionPtr = boost::intrusive_ptr<ServerConnection>;

constexpr std::size_t ReadBytes = 16UL * 1024;
constexpr std::size_t SmallBodyBytes = 64UL * 1024;
/** From here on, requests with longer bodies make room, so that the rest is
 * left to answers and to small requests. */
constexpr std::size_t LongBodyLimit = BufferBudget::Limit / 4 * 3;

std::size_t bytesOf(const CallRequest &request) {
  return std::accumulate(request.headers.begin(), request.headers.end(),
                         request.target.capacity() + request.body.capacity(),
                         [](std::size_t sum, const auto &header) {
                           return sum + sizeof(header) +
                                  header.first.capacity() +
                                  header.second.capacity();
                         });
}

bool mustMakeRoom(std::size_t bodyBytes) {
  const BufferBudget &budget = BufferBudget::instance();
  return bodyBytes > SmallBodyBytes ? budget.usedBytes() >= LongBodyLimit
                                    : bodyBytes > 0 && budget.isExhausted();
}

} // namespace

ConnectionPtr ServerConnection::serve(StreamSocket socket,
                                      const Handler &handler,
                                      const Predicate &mayRunBeside) {
  const ConnectionPtr connection(
      new ServerConnection(std::move(socket), handler, mayRunBeside));
  // Released by end().
  intrusive_ptr_add_ref(connection.get());
  connection->socket.watch(*connection, EPOLLRDHUP);
  return connection;
}

ServerConnection::ServerConnection(StreamSocket newSocket,
                                   const Handler &handler,
                                   const Predicate &mayRunBeside)
    : socket(std::move(newSocket)), handler(&handler),
      mayRunBeside(&mayRunBeside) {}

void ServerConnection::onReady(std::uint32_t events) {
  const ConnectionPtr self(this);
  // Requests that are read together with the end of their connection have been
  // given up, and are not begun.
  hasPeerEnded =
      hasPeerEnded || (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  if ((events & EPOLLOUT) != 0 && !socket.flush()) {
    breakOff(false);
    return;
  }
  if (!socket.hasQueued() && writtenAction)
    std::exchange(writtenAction, nullptr)();
  if (!isDone && (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
    readMore();
  if (isDone)
    return;
  if (isClosing && !isLingering && line.empty() && !socket.hasQueued())
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
    const std::size_t before = input.size();
    const auto result = socket.read(input, ReadBytes);
    if (result == StreamSocket::ReadResult::Bytes) {
      if (isLingering)
        input.clear();
      else
        markRead(input.size() - before);
      continue;
    }
    if (result == StreamSocket::ReadResult::End)
      hasPeerEnded = true;
    else if (result == StreamSocket::ReadResult::Broken)
      breakOff(false);
    break;
  }
  if (isDone)
    return;
  chargeBuffers();
  socket.setReading(input.size() < MaxReadAhead && !hasPeerEnded);
  if (hasPeerEnded)
    onPeerEnded();
}

void ServerConnection::markRead(std::size_t bytes) {
  const TimePoint now = std::chrono::steady_clock::now();
  readBytes += bytes;
  const bool isNew =
      readMarks.empty() || (readMarks.size() < MaxReadMarks &&
                            now - readMarks.back().at > ReadMarkTime);
  if (isNew) {
    readMarks.push_back({readBytes, now});
    return;
  }
  ReadMark &last = readMarks.back();
  last.end = readBytes;
  // A time that is too late lets a request run for longer; one that is far too
  // early would refuse it.
  if (now - last.at > ReadMarkTime)
    last.at = now;
}

void ServerConnection::markParsed(std::size_t bytes) {
  parsedBytes += bytes;
  readMarks.erase(readMarks.begin(),
                  std::ranges::find_if(readMarks, [&](const ReadMark &it) {
                    return it.end >= parsedBytes;
                  }));
}

TimePoint ServerConnection::lastParsedReadAt() const {
  return readMarks.empty() ? std::chrono::steady_clock::now()
                           : readMarks.front().at;
}

bool ServerConnection::hasRoom() const {
  const std::size_t held = lineBytes() + socket.queuedBytes();
  if (line.empty())
    return held < MaxHeldBytes;
  return line.size() < MaxRequests &&
         held + reader.body.size() < MaxHeldBytes &&
         !BufferBudget::instance().isExhausted();
}

bool ServerConnection::mayParse() const {
  if (isDone || isClosing || hasPeerEnded || !hasRoom())
    return false;
  return line.empty() || (!isAskedToContinue && !line.back().closes());
}

void ServerConnection::parse() {
  if (std::exchange(isParsing, true))
    return;
  const ConnectionPtr self(this);
  // A request that was not taken in for a while has its time again.
  if (isHeldBack && arrivalTimer.isRunning())
    startArrivalTimer();
  sendContinue();
  while (mayParse() && !input.empty() && parseOne()) {
  }
  isHeldBack = !mayParse();
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
  markParsed(n);
  chargeBuffers();
  if (!hadHead && reader.state() == HttpMessageReader::State::Body &&
      findHeader(reader.headers, "Expect") &&
      reader.contentLength.value_or(0) <= MaxBodyBytes)
    isAskedToContinue = true;
  sendContinue();
  if (isDone)
    return false;
  const auto before = reader.state();
  updateArrivalTimer(hadHead);
  onReaderState();
  return before == HttpMessageReader::State::Complete;
}

void ServerConnection::sendContinue() {
  if (!isAskedToContinue || !mayParse())
    return;
  isAskedToContinue = false;
  write("HTTP/1.1 100 Continue\r\n\r\n", nullptr);
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
  else if (!arrivalTimer.isRunning() || (!hadHead && reader.hasHead()))
    startArrivalTimer();
}

void ServerConnection::startArrivalTimer() {
  arrivalTimer.startOnce(reader.hasHead() ? Duration(MaxArrivalTime)
                                          : Duration(MaxHeadTime),
                         [this] { onArrivalTimeout(); });
}

void ServerConnection::onArrivalTimeout() {
  if (isDone || isClosing)
    return;
  // While nothing is taken in, the request cannot arrive; and its client may
  // wait for the answers before it.
  if (!mayParse() || !line.empty())
    startArrivalTimer();
  else
    refuse(httpStatus::RequestTimeout,
           "the request has not arrived whole in time\n");
}

void ServerConnection::chargeBuffers() {
  charge.set(input.capacity() + reader.body.capacity() + lineBytes() +
             readMarks.capacity() * sizeof(ReadMark));
}

std::size_t ServerConnection::lineBytes() const {
  return std::accumulate(
      line.begin(), line.end(), std::size_t{0},
      [](std::size_t sum, const AnswerSlot &it) { return sum + it.bytes(); });
}

void ServerConnection::handOver() {
  CallRequest request;
  request.method = reader.method();
  request.target = std::move(reader.target);
  request.headers = std::move(reader.headers);
  request.body = std::exchange(reader.body, {});
  const std::size_t bytes = bytesOf(request);
  const IncomingCallPtr call(
      new IncomingCall(this, std::move(request), lastParsedReadAt()));
  if (!reader.keepsAlive())
    call->closeAfterAnswer();
  reader.restart();
  AnswerSlot &slot = enqueue(call);
  slot.waiting = call;
  slot.requestBytes = bytes;
  chargeBuffers();
  advance();
}

AnswerSlot &ServerConnection::enqueue(const IncomingCallPtr &call) {
  line.emplace_back().call = call.get();
  return line.back();
}

std::list<AnswerSlot>::iterator
ServerConnection::slotOf(const IncomingCall &call) {
  const auto slot = std::ranges::find(line, &call, &AnswerSlot::call);
  assert(slot != line.end() && "a call that can answer is in the line");
  return slot;
}

void ServerConnection::refuse(unsigned status, const std::string &text,
                              HeaderList list) {
  reader.body = {};
  chargeBuffers();
  list.emplace_back(headers::Outcome, toString(Outcome::NotRun));
  list.emplace_back("Content-Type", "text/plain");
  const IncomingCallPtr incoming(
      new IncomingCall(this, {}, lastParsedReadAt()));
  enqueue(incoming);
  incoming->closeAfterAnswer();
  incoming->reply(status, list, text);
}

void ServerConnection::write(std::string_view bytes, Action written) {
  const ConnectionPtr self(this);
  if (!socket.write(bytes)) {
    breakOff(false);
    return;
  }
  if (!written)
    return;
  if (socket.hasQueued())
    writtenAction = std::move(written);
  else
    written();
}

void ServerConnection::sendThen(const IncomingCall &call,
                                std::string_view bytes, Action written) {
  if (isDone)
    return;
  const auto slot = slotOf(call);
  if (slot == line.begin() && slot->held.empty() && !slot->written) {
    write(bytes, std::move(written));
    return;
  }
  slot->held += bytes;
  chargeBuffers();
  if (!written)
    return;
  if (slot->held.size() < MaxHeldStreamBytes &&
      !BufferBudget::instance().isExhausted())
    // May end the answer, and with it the slot.
    written();
  else
    slot->written = std::move(written);
}

void ServerConnection::onStreamed(const IncomingCall &call) {
  if (!isDone)
    slotOf(call)->isStreaming = true;
}

void ServerConnection::onAnswered(const IncomingCall &call) {
  if (isDone)
    return;
  const ConnectionPtr self(this);
  const auto slot = slotOf(call);
  slot->mustClose = slot->closes();
  slot->call = nullptr;
  slot->isEnded = true;
  slot->isStreaming = false;
  slot->beside.set(false);
  slot->requestBytes = 0;
  if (slot->mustClose)
    dropFrom(std::next(slot));
  advance();
  if (isDone)
    return;
  chargeBuffers();
  if (hasPeerEnded)
    onPeerEnded();
  else
    parse();
}

void ServerConnection::onAborted(const IncomingCall &call) {
  if (isDone)
    return;
  const auto slot = slotOf(call);
  slot->call = nullptr;
  if (slot == line.begin()) {
    breakOff(true);
    return;
  }
  slot->written = nullptr;
  slot->beside.set(false);
  slot->isEnded = true;
  slot->mustClose = true;
  dropFrom(std::next(slot));
}

void ServerConnection::advance() {
  if (std::exchange(isAdvancing, true))
    return;
  const ConnectionPtr self(this);
  while (!isDone && (deliverFront() || beginNext())) {
  }
  isAdvancing = false;
}

bool ServerConnection::deliverFront() {
  if (line.empty())
    return false;
  // Stays valid, as only this function takes the front out of the line of a
  // connection that goes on.
  AnswerSlot &front = line.front();
  if (!front.held.empty() || front.written) {
    const std::string bytes = std::exchange(front.held, {});
    write(bytes, std::exchange(front.written, nullptr));
  }
  if (isDone || !front.isEnded)
    return false;
  isClosing = isClosing || front.mustClose;
  line.pop_front();
  if (!line.empty())
    line.front().beside.set(false);
  chargeBuffers();
  if (isClosing && line.empty() && !socket.hasQueued())
    linger();
  return true;
}

bool ServerConnection::beginNext() {
  if (hasPeerEnded)
    return false;
  const auto next = std::ranges::find_if(line, [](const AnswerSlot &it) {
    return it.waiting || !it.runsBeside || it.closes() || it.isStreaming;
  });
  if (next == line.end() || !next->waiting)
    return false;
  next->runsBeside = *mayRunBeside && (*mayRunBeside)(next->waiting->request());
  const bool isFront = next == line.begin();
  if (!isFront && (!next->runsBeside || BesideMark::all() >= MaxBesideOthers))
    return false;
  next->beside.set(!isFront);
  (*handler)(std::exchange(next->waiting, nullptr));
  return true;
}

std::vector<IncomingCallPtr>
ServerConnection::takeFrom(std::list<AnswerSlot>::iterator first) {
  std::vector<IncomingCallPtr> taken;
  for (auto it = first; it != line.end(); ++it)
    if (it->call != nullptr)
      taken.emplace_back(it->call);
  // Before any action runs, as one call's action may answer another one.
  for (const IncomingCallPtr &it : taken)
    it->connection = nullptr;
  line.erase(first, line.end());
  return taken;
}

void ServerConnection::dropFrom(std::list<AnswerSlot>::iterator first) {
  const ConnectionPtr self(this);
  for (const IncomingCallPtr &it : takeFrom(first))
    it->leave();
}

void ServerConnection::breakOff(bool isReset) {
  const ConnectionPtr self(this);
  const auto gone = takeFrom(line.begin());
  if (isReset)
    socket.reset();
  end();
  for (const IncomingCallPtr &it : gone)
    it->leave();
}

void ServerConnection::onPeerEnded() {
  hasPeerEnded = true;
  breakOff(!line.empty());
}

void ServerConnection::closeWhenIdle() {
  isClosing = true;
  dropFrom(std::ranges::find_if(
      line, [](const AnswerSlot &it) { return it.waiting != nullptr; }));
  if (line.empty()) {
    if (!socket.hasQueued())
      linger();
    return;
  }
  AnswerSlot &last = line.back();
  last.mustClose = true;
  if (last.call != nullptr)
    last.call->closeAfterAnswer();
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
  readMarks = {};
  charge.set(0);
  arrivalTimer.stop();
  // The timer's action may be what runs now.
  const ConnectionPtr self(this, false);
  if (lingerTimer.isRunning())
    lingerTimer.stop();
}

} // namespace plantainhatch
