/** \file
 * One HTTP request to another process and its answer, streamed. */
#ifndef PLANTAINHATCH_CONNECTION_EXCHANGE_H
#define PLANTAINHATCH_CONNECTION_EXCHANGE_H

#include "base/Address.h"
#include "connection/AnswerSource.h"
#include "connection/ConnectionRegistry.h"
#include "connection/HttpSession.h"
#include "connection/LingeringClose.h"
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

  /** As cancel(), and tells when the other process has let go of the request.
   * \param over is called once: at once if nothing was sent, else when the
   * other process has closed the connection. */
  void giveUp(LingeringClose::Action over);

private:
  GObjectPtr<SoupSession> session;
  GObjectPtr<SoupMessage> message;
  GObjectPtr<GCancellable> cancellable;
  GObjectPtr<GInputStream> body;
  HeadReceiver headReceiver;
  ChunkReceiver chunkReceiver;
  bool wasSent = false;
  bool isCancelled = false;

  Exchange(SoupSession *session, HeadReceiver receiver);

  bool prepare(const CallRequest &request, const ExchangeOptions &options);
  void send();
  bool isBodyWhole() const;
  void finishHead(GAsyncResult *result);
  void finishRead(GAsyncResult *result);
  AnswerHead readHead() const;

  static void onStarting(SoupMessage *message, gpointer data);
  static void onSent(GObject *session, GAsyncResult *result, gpointer data);
  static void onRead(GObject *stream, GAsyncResult *result, gpointer data);
};

} // namespace plantainhatch

#endif
