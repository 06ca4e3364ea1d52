/** \file
 * Gathers the parts of one HTTP message from the parser's callbacks. */
#ifndef PLANTAINHATCH_CONNECTION_HTTPMESSAGEREADER_H
#define PLANTAINHATCH_CONNECTION_HTTPMESSAGEREADER_H

#include "request/CallRequest.h"

#include <http_parser.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainhatch {

/** Reads requests or answers, one message at a time. Not thread-safe. */
class HttpMessageReader {
public:
  /** Larger heads are refused. */
  static constexpr std::size_t MaxHeadBytes = 16UL * 1024;
  /** Each header takes memory besides its bytes. */
  static constexpr std::size_t MaxHeaders = 128;
  /** More interim answers before the final one make it malformed. */
  static constexpr unsigned MaxInterimAnswers = 32;

  enum class State : std::uint8_t {
    Head,
    Body,
    Complete,
    HeadTooLarge,
    Malformed
  };

  explicit HttpMessageReader(http_parser_type type);

  /** Takes in bytes up to the end of the message.
   * \return how many were used. */
  std::size_t feed(std::string_view bytes);
  /** The other side has ended the connection, which completes a message without
   * a length and breaks any other. */
  void feedEnd();
  /** Makes ready for the next message on the connection. */
  void restart();
  /** Answers to HEAD have no body, whatever they say. */
  void expectNoBody() { hasNoBody = true; }

  State state() const { return current; }
  bool hasHead() const {
    return current == State::Body || current == State::Complete;
  }
  /** True if nothing of a message has come. */
  bool isFresh() const { return current == State::Head && headBytes == 0; }
  /** True if the connection may carry another message after this one. */
  bool keepsAlive() const { return isKeptAlive; }

  std::string method() const;
  unsigned status() const { return parser.status_code; }
  std::string target;
  HeaderList headers;
  /** The length that the head has told. */
  std::optional<std::uint64_t> contentLength;
  /** The part of the body that was not taken out yet. */
  std::string body;

private:
  http_parser parser{};
  State current = State::Head;
  std::size_t headBytes = 0;
  /** The first bytes of the answer that is read, up to its status. */
  std::string answerStart;
  unsigned interimAnswers = 0;
  bool isLastField = false;
  bool isInterimOver = false;
  bool hasNoBody = false;
  bool isKeptAlive = false;

  /** \return false if \p bytes, which come next, begin no answer. */
  bool takeAnswerStart(std::string_view bytes);
  /** Feeds the parser up to the end of one message. */
  std::size_t parse(std::string_view bytes);
  int addHeadBytes(std::size_t n);
  int onField(const char *at, std::size_t n);
  int onValue(const char *at, std::size_t n);
  int onHeadComplete();
  int onMessageComplete();

  static const http_parser_settings &settings();
  static HttpMessageReader &of(http_parser *parser) {
    return *static_cast<HttpMessageReader *>(parser->data);
  }
};

} // namespace plantainhatch

#endif
