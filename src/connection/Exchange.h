/** \file
 * One HTTP request to another process and its answer, streamed. */
#ifndef PLANTAINHATCH_CONNECTION_EXCHANGE_H
#define PLANTAINHATCH_CONNECTION_EXCHANGE_H

#include "base/Address.h"
#include "connection/AnswerSource.h"
#include "connection/HttpMessageReader.h"
#include "connection/HttpSession.h"
#include "connection/Timer.h"
#include "request/CallRequest.h"

#include <functional>
#include <string>
#include <variant>

namespace plantainhatch {

/** Why there was no answer. */
struct ExchangeError {
  /** True if no byte of the request can have left, so that it was provably not
   * run. */
  bool isProvablyUnsent = false;
  std::string message;
};

/** What is sent besides the request itself. */
struct ExchangeOptions {
  Address address;
  /** Added after the request's own headers. */
  HeaderList extraHeaders;
  /** Use a connection that no other request has used before. */
  bool needsFreshConnection = false;
  /** The longest that connecting may take. */
  Duration connectLimit = DefaultConnectLimit;

  /** Several round trips between regions. */
  static constexpr std::chrono::milliseconds DefaultConnectLimit{800};
};

/** Sends a request once, and never again by itself, so that each hand-over is
 * decided and counted in one place. Used on the main loop only. */
class Exchange : public AnswerSource, private ReadyHandler {
public:
  using Result = std::variant<AnswerHead, ExchangeError>;
  /** Called once. */
  using HeadReceiver = std::function<void(Result)>;

  /** Starts an exchange. It lives until its end or its cancellation, whoever
   * holds it. \param session outlives it. \param receiver is called after this
   * has returned. \return the exchange, from which the body is read after the
   * head has come. */
  static boost::intrusive_ptr<Exchange> start(HttpSession *session,
                                              const CallRequest &request,
                                              const ExchangeOptions &options,
                                              HeadReceiver receiver);

  ~Exchange() override = default;
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;
  Exchange(Exchange &&) = delete;
  Exchange &operator=(Exchange &&) = delete;

  void read(ChunkReceiver receiver) override;
  void cancel() override;

  using Action = std::function<void()>;

  /** What is read of an answer that is no longer wanted. */
  static constexpr std::size_t MaxDiscarded = 256UL * 1024;
  /** What is read ahead of the reader of the body, unless the buffers of this
   * process are full. */
  static constexpr std::size_t MaxReadAhead = 64UL * 1024;
  /** A request without a byte of an answer for this long shows, once it is
   * given up, that its connection may have fallen silent. */
  static constexpr std::chrono::milliseconds SilenceLimit{250};
  /** What is read in one turn of the main loop, so that others have theirs. */
  static constexpr std::size_t MaxReadPerTurn = 256UL * 1024;

  /** Lets the other process see that the answer is no longer wanted, and tells
   * when it has let go of the request. Only the sending side of the connection
   * is closed: one who heeds that closes the connection at once, one who
   * doesn't answers, and in both cases the work is over at that moment and not
   * before, which a plain close would never tell. One who streams a long answer
   * and does not read is cut after MaxDiscarded, and sees that at its next
   * write. \param over is called once; at once if nothing was sent, or all was
   * received. */
  void giveUp(Action over);

private:
  enum class State : std::uint8_t { Connecting, Sent, Answered, Ended };

  HttpSession *session;
  Address address;
  StreamSocket socket;
  HttpMessageReader reader{HTTP_RESPONSE};
  State state = State::Connecting;
  HeadReceiver headReceiver;
  ChunkReceiver chunkReceiver;
  /** Set once the answer is no longer wanted. */
  Action overAction;
  std::string message;
  BufferCharge charge;
  std::string failure;
  Timer timer;
  std::size_t discarded = 0;
  bool hasExtraBytes = false;
  bool isHeld = false;
  /** The connection has carried other requests before. */
  bool isOnKeptConnection = false;
  TimePoint sentAt;

  Exchange(HttpSession *session, const CallRequest &request,
           const ExchangeOptions &options, HeadReceiver receiver);

  void begin(const ExchangeOptions &options);
  void failSoon(std::string why);
  void sendMessage();
  /** The request is given up. If nothing of an answer has come on a connection
   * that was kept, drops the others like it. */
  void dropSilentConnections();
  void onReady(std::uint32_t events) override;
  void onConnectable();
  void readMore();
  /** What may be read ahead at the moment. */
  static std::size_t readAheadLimit();
  void onProgress();
  void deliverHead();
  void deliverChunk();
  void discard();
  void fail(const std::string &why);
  void finishGiveUp();
  /** Keeps the connection if it is fit for another request. */
  void release();
  void end();
  AnswerHead makeHead();
};

} // namespace plantainhatch

#endif
