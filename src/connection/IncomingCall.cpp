#include "connection/IncomingCall.h"

#include "connection/ServerConnection.h"
#include "request/HttpStatus.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace plantainhatch {

namespace {

bool mayHaveBody(unsigned status) {
  return status != httpStatus::NoContent && status != httpStatus::NotModified;
}

std::string reasonOf(unsigned status) {
  return http_status_str(static_cast<http_status>(status));
}

} // namespace

IncomingCall::IncomingCall(boost::intrusive_ptr<ServerConnection> from,
                           CallRequest request, TimePoint readAt)
    : connection(std::move(from)), callRequest(std::move(request)),
      arrival(readAt), peer(connection->peer()) {}

IncomingCall::~IncomingCall() {
  // Dropped without an answer: nobody could give one any more.
  if (connection)
    abort();
}

bool IncomingCall::hasCallerLeft() const {
  return !connection || connection->hasPeerClosed();
}

bool IncomingCall::isBehindOthers() const {
  return connection && connection->isBehindOthers(*this);
}

std::string IncomingCall::makeHead(unsigned status,
                                   const HeaderList &headers) const {
  std::string head =
      "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) + "\r\n";
  for (const auto &[name, value] : headers)
    head.append(name).append(": ").append(value).append("\r\n");
  if (mustClose)
    head += "Connection: close\r\n";
  return head;
}

void IncomingCall::reply(unsigned status, const HeaderList &headers,
                         const std::string &body) {
  if (!connection) {
    finish();
    return;
  }
  std::string bytes = makeHead(status, headers);
  if (mayHaveBody(status))
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  bytes += "\r\n";
  if (callRequest.method != "HEAD" && mayHaveBody(status))
    bytes += body;
  connection->send(*this, bytes);
  finish();
}

void IncomingCall::startStream(const AnswerHead &head) {
  if (!connection)
    return;
  std::string bytes = makeHead(head.status, head.headers);
  isChunked = !head.contentLength && mayHaveBody(head.status) &&
              callRequest.method != "HEAD";
  if (head.contentLength && mayHaveBody(head.status))
    bytes += "Content-Length: " + std::to_string(*head.contentLength) + "\r\n";
  else if (isChunked)
    bytes += "Transfer-Encoding: chunked\r\n";
  connection->onStreamed(*this);
  connection->send(*this, bytes + "\r\n");
}

void IncomingCall::writeChunk(GBytes *bytes, Action written) {
  if (!connection)
    return;
  constexpr int Hexadecimal = 16;
  std::string framed = toString(bytes);
  if (callRequest.method == "HEAD")
    framed.clear();
  if (isChunked && !framed.empty()) {
    std::array<char, 2 * sizeof(std::size_t)> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(),
                                   framed.size(), Hexadecimal);
    framed = std::string(size.data(), end.ptr) + "\r\n" + framed + "\r\n";
  }
  connection->sendThen(*this, framed, std::move(written));
}

void IncomingCall::endStream() {
  if (connection && isChunked)
    connection->send(*this, "0\r\n\r\n");
  finish();
}

void IncomingCall::finish() {
  goneAction = nullptr;
  if (const auto from = std::exchange(connection, nullptr))
    from->onAnswered(*this);
}

void IncomingCall::abort() {
  goneAction = nullptr;
  if (const auto from = std::exchange(connection, nullptr))
    from->onAborted(*this);
}

void IncomingCall::leave() {
  if (const Action gone = std::exchange(goneAction, nullptr))
    gone();
}

} // namespace plantainhatch
