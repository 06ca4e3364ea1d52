/** \file
 * One HTTP request to another process and its answer, streamed. */
#ifndef PLANTAINHATCH_CONNECTION_EXCHANGE_H
#define PLANTAINHATCH_CONNECTION_EXCHANGE_H

#include "base/Address.h"
#include "connection/AnswerSource.h"
#include "connection/ConnectionRegistry.h"
#include "connection/HttpSession.h"
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
};

/** Sends a request once; the library is kept from sending it again, so that
 * each hand-over is decided and counted in one place. Used on the main loop
 * only. */
class Exchange : public AnswerSource {
public:
  using Result = std::variant<AnswerHead, ExchangeError>;
  /** Called once. */
  using HeadReceiver = std::function<void(Result)>;

  /** Starts an exchange. It lives until its end or its cancellation, whoever
   * holds it. \return the exchange, from which the body is read after the head
   * has come. */
  static boost::intrusive_ptr<Exchange> start(SoupSession *session,
                                              const CallRequest &request,
                                              const ExchangeOptions &options,
                                              HeadReceiver receiver);

  ~Exchange() override;
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;
  Exchange(Exchange &&) = delete;
  Exchange &operator=(Exchange &&) = delete;

  void read(ChunkReceiver receiver) override;
  void cancel() override;

  using Action = std::function<void()>;

  /** What is read of an answer that is no longer wanted. */
  static constexpr std::size_t MaxDiscarded = 256UL * 1024;

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
  GObjectPtr<SoupSession> session;
  GObjectPtr<SoupMessage> message;
  GObjectPtr<GCancellable> cancellable;
  GObjectPtr<GInputStream> body;
  HeadReceiver headReceiver;
  ChunkReceiver chunkReceiver;
  /** Set once the answer is no longer wanted. */
  Action overAction;
  std::size_t discarded = 0;
  bool wasSent = false;
  bool isReading = false;
  bool isFinished = false;
  bool isCancelled = false;

  Exchange(SoupSession *session, HeadReceiver receiver);

  bool prepare(const CallRequest &request, const ExchangeOptions &options);
  void send();
  bool isBodyWhole() const;
  void finishHead(GAsyncResult *result);
  void finishRead(GAsyncResult *result);
  void readNext();
  void discardNext();
  void onDiscarded(bool isBroken, GBytes *bytes);
  void finishGiveUp();
  AnswerHead readHead() const;

  static void onStarting(SoupMessage *message, gpointer data);
  static void onFinished(SoupMessage *message, gpointer data);
  static void onSent(GObject *session, GAsyncResult *result, gpointer data);
  static void onRead(GObject *stream, GAsyncResult *result, gpointer data);
};

} // namespace plantainhatch

#endif
