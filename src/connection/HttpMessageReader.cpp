#include "connection/HttpMessageReader.h"

#include <algorithm>
#include <limits>

namespace plantainhatch {

namespace {

constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;
/** What an answer begins with: the version, a status from 100 to 599, and the
 * end of the status. The parser takes more than that. */
constexpr std::string_view AnswerPattern = "HTTP/1.v sdde";
constexpr std::size_t StatusAt = 9;

bool fits(char c, char pattern) {
  switch (pattern) {
  case 'v':
    return c == '0' || c == '1';
  case 's':
    return c >= '1' && c <= '5';
  case 'd':
    return c >= '0' && c <= '9';
  case 'e':
    return c == ' ' || c == '\r' || c == '\n';
  default:
    return c == pattern;
  }
}

/** Of a protocol that nobody has asked for. */
bool isSwitch(std::string_view answerStart) {
  return answerStart.substr(std::min(StatusAt, answerStart.size()))
      .starts_with("101");
}

bool isKnownVersion(const http_parser &parser) {
  return parser.http_major == 1 && parser.http_minor <= 1;
}

} // namespace

HttpMessageReader::HttpMessageReader(http_parser_type type) {
  http_parser_init(&parser, type);
  parser.data = this;
}

std::size_t HttpMessageReader::feed(std::string_view bytes) {
  std::size_t n = 0;
  do {
    isInterimOver = false;
    if (!takeAnswerStart(bytes.substr(n))) {
      current = State::Malformed;
      return n;
    }
    n += parse(bytes.substr(n));
  } while (isInterimOver && n < bytes.size());
  return n;
}

bool HttpMessageReader::takeAnswerStart(std::string_view bytes) {
  if (parser.type != HTTP_RESPONSE || current != State::Head)
    return true;
  const std::size_t at = answerStart.size();
  answerStart += bytes.substr(0, AnswerPattern.size() - at);
  const std::string_view taken = std::string_view(answerStart).substr(at);
  return std::ranges::equal(taken, AnswerPattern.substr(at, taken.size()),
                            fits) &&
         !isSwitch(answerStart);
}

std::size_t HttpMessageReader::parse(std::string_view bytes) {
  parser.data = this;
  const std::size_t n =
      http_parser_execute(&parser, &settings(), bytes.data(), bytes.size());
  const auto error = HTTP_PARSER_ERRNO(&parser);
  const bool isRefused =
      current == State::HeadTooLarge || current == State::Malformed;
  if (error == HPE_OK || isRefused)
    return n;
  if (error == HPE_PAUSED && isInterimOver)
    http_parser_pause(&parser, 0);
  if (error == HPE_PAUSED && (isInterimOver || current == State::Complete))
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
  isLastField = isInterimOver = hasNoBody = isKeptAlive = false;
  answerStart.clear();
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
  // Interim answers have no body, whatever they say.
  if (parser.type == HTTP_RESPONSE && parser.status_code < FirstFinalStatus)
    return 1;
  current = State::Body;
  isLastField = false;
  const bool hasBlankInName =
      std::ranges::any_of(headers, [](const auto &header) {
        return header.first.find_first_of(" \t") != std::string::npos;
      });
  // The parser takes "Name :" for a header that others would read differently.
  if (hasBlankInName || !isKnownVersion(parser)) {
    current = State::Malformed;
    return -1;
  }
  // What asks for another protocol is answered in this one.
  parser.upgrade = 0;
  const bool isEmpty =
      parser.type == HTTP_RESPONSE &&
      (parser.status_code == NoContent || parser.status_code == NotModified);
  if (!isEmpty &&
      parser.content_length != std::numeric_limits<std::uint64_t>::max() &&
      (parser.flags & F_CHUNKED) == 0)
    contentLength = parser.content_length;
  return hasNoBody || isEmpty ? 1 : 0;
}

int HttpMessageReader::onMessageComplete() {
  if (current != State::Body) {
    headers.clear();
    headBytes = 0;
    answerStart.clear();
    isInterimOver = ++interimAnswers <= MaxInterimAnswers;
    if (!isInterimOver) {
      current = State::Malformed;
      return 1;
    }
    http_parser_pause(&parser, 1);
    return 0;
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
