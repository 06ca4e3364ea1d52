#include "connection/HttpMessageReader.h"

#include <algorithm>
#include <limits>

namespace plantainhatch {

namespace {

constexpr unsigned FirstFinalStatus = 200;

} // namespace

HttpMessageReader::HttpMessageReader(http_parser_type type) {
  http_parser_init(&parser, type);
  parser.data = this;
}

std::size_t HttpMessageReader::feed(std::string_view bytes) {
  parser.data = this;
  const std::size_t n =
      http_parser_execute(&parser, &settings(), bytes.data(), bytes.size());
  const auto error = HTTP_PARSER_ERRNO(&parser);
  const bool isRefused =
      current == State::HeadTooLarge || current == State::Malformed;
  if (error == HPE_OK || isRefused)
    return n;
  if (error == HPE_PAUSED && current == State::Complete)
    return n;
  current =
      error == HPE_HEADER_OVERFLOW ? State::HeadTooLarge : State::Malformed;
  return n;
}

void HttpMessageReader::feedEnd() {
  if (current == State::Complete)
    return;
  parser.data = this;
  http_parser_execute(&parser, &settings(), nullptr, 0);
  if (current != State::Complete)
    current = State::Malformed;
}

void HttpMessageReader::restart() {
  http_parser_pause(&parser, 0);
  current = State::Head;
  headBytes = 0;
  interimAnswers = 0;
  isLastField = hasNoBody = isKeptAlive = false;
  target.clear();
  headers.clear();
  contentLength.reset();
  body.clear();
}

std::string HttpMessageReader::method() const {
  return http_method_str(static_cast<http_method>(parser.method));
}

int HttpMessageReader::addHeadBytes(std::size_t n) {
  headBytes += n;
  if (headBytes <= MaxHeadBytes)
    return 0;
  current = State::HeadTooLarge;
  return 1;
}

int HttpMessageReader::onField(const char *at, std::size_t n) {
  if (current == State::Body)
    return 0;
  if (!isLastField && headers.size() >= MaxHeaders) {
    current = State::HeadTooLarge;
    return 1;
  }
  if (!isLastField)
    headers.emplace_back();
  isLastField = true;
  headers.back().first.append(at, n);
  return addHeadBytes(n);
}

int HttpMessageReader::onValue(const char *at, std::size_t n) {
  // Trailers are not passed on.
  if (current == State::Body)
    return 0;
  isLastField = false;
  headers.back().second.append(at, n);
  return addHeadBytes(n);
}

int HttpMessageReader::onHeadComplete() {
  const bool isInterim =
      parser.type == HTTP_RESPONSE && parser.status_code < FirstFinalStatus;
  if (isInterim)
    return 0;
  current = State::Body;
  isLastField = false;
  const bool hasBlankInName =
      std::ranges::any_of(headers, [](const auto &header) {
        return header.first.find_first_of(" \t") != std::string::npos;
      });
  // The parser takes "Name :" for a header that others would read differently.
  if (hasBlankInName) {
    current = State::Malformed;
    return -1;
  }
  // What asks for another protocol is answered in this one.
  parser.upgrade = 0;
  if (parser.content_length != std::numeric_limits<std::uint64_t>::max() &&
      (parser.flags & F_CHUNKED) == 0)
    contentLength = parser.content_length;
  return hasNoBody ? 1 : 0;
}

int HttpMessageReader::onMessageComplete() {
  if (current != State::Body) {
    headers.clear();
    headBytes = 0;
    if (++interimAnswers <= MaxInterimAnswers)
      return 0;
    current = State::Malformed;
    return 1;
  }
  isKeptAlive = http_should_keep_alive(&parser) != 0;
  current = State::Complete;
  // Bytes behind this message are looked at when it has been dealt with.
  http_parser_pause(&parser, 1);
  return 0;
}

const http_parser_settings &HttpMessageReader::settings() {
  static const http_parser_settings Callbacks = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_url = [](http_parser *it, const char *at, std::size_t n) {
      of(it).target.append(at, n);
      return of(it).addHeadBytes(n);
    };
    made.on_header_field = [](http_parser *it, const char *at, std::size_t n) {
      return of(it).onField(at, n);
    };
    made.on_header_value = [](http_parser *it, const char *at, std::size_t n) {
      return of(it).onValue(at, n);
    };
    made.on_headers_complete = [](http_parser *it) {
      return of(it).onHeadComplete();
    };
    made.on_body = [](http_parser *it, const char *at, std::size_t n) {
      of(it).body.append(at, n);
      return 0;
    };
    made.on_message_complete = [](http_parser *it) {
      return of(it).onMessageComplete();
    };
    return made;
  }();
  return Callbacks;
}

} // namespace plantainhatch
