/** \file
 * One connection of another process to this one. */
#ifndef PLANTAINHATCH_CONNECTION_SERVERCONNECTION_H
#define PLANTAINHATCH_CONNECTION_SERVERCONNECTION_H

#include "connection/HttpMessageReader.h"
#include "connection/IncomingCall.h"
#include "connection/StreamSocket.h"
#include "connection/Timer.h"

#include <boost/intrusive/list.hpp>

#include <functional>
#include <string>

namespace plantainhatch {

/** Reads requests, hands over one at a time and sends the answers in order. It
 * lives until it is closed. Used on the main loop only. */
class ServerConnection
    : public boost::intrusive_ref_counter<ServerConnection,
                                          boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>,
      private ReadyHandler {
public:
  using Handler = std::function<void(const IncomingCallPtr &)>;
  using Action = std::function<void()>;

  /** Bodies of requests are held in memory, as they may have to be sent again.
   */
  static constexpr std::size_t MaxBodyBytes = 1024UL * 1024;
  /** What is read ahead while a request is being served. */
  static constexpr std::size_t MaxReadAhead = 64UL * 1024;
  /** How long a request may take to arrive, from its first byte on. */
  static constexpr std::chrono::seconds MaxArrivalTime{60};
  /** The same for its head. */
  static constexpr std::chrono::seconds MaxHeadTime{10};
  /** How long a connection waits for the other side to close after the last
   * answer, so that this answer is not lost to a reset. */
  static constexpr std::chrono::seconds LingerTime{1};

  /** Serves a connection. \param handler outlives it, or calls
   * closeWhenIdle() before it ends. */
  static boost::intrusive_ptr<ServerConnection> serve(StreamSocket socket,
                                                      const Handler &handler);

  Address peer() const { return socket.peer(); }
  /** True if the request under way allows another one after it. */
  bool keepsAlive() const { return reader.keepsAlive() && !isClosing; }

  /** True if the other side has closed, even if the main loop has not reported
   * it yet. */
  bool hasPeerClosed() const {
    return isDone || hasPeerEnded || socket.hasPeerClosed();
  }

  /** Sends bytes of an answer. */
  void send(std::string_view bytes) { sendThen(bytes, nullptr); }
  /** Sends bytes and calls \p written when they have left. */
  void sendThen(std::string_view bytes, Action written);
  /** The answer is complete. */
  void onAnswered(bool mustClose);
  /** Ends the connection so that the other side sees a reset. */
  void reset();
  /** Takes no further requests. */
  void closeWhenIdle();

private:
  StreamSocket socket;
  const Handler *handler;
  HttpMessageReader reader{HTTP_REQUEST};
  /** Bytes that were read and not yet parsed. */
  std::string input;
  IncomingCall *call = nullptr;
  Action writtenAction;
  Timer lingerTimer;
  /** Runs while a request is arriving. */
  Timer arrivalTimer;
  BufferCharge charge;
  /** Allocated by the body of the request that is being served. */
  std::size_t servedBodyBytes = 0;
  bool isClosing = false;
  bool isLingering = false;
  bool isParsing = false;
  bool isDone = false;
  bool hasPeerEnded = false;

  ServerConnection(StreamSocket socket, const Handler &handler);

  void onReady(std::uint32_t events) override;
  void readMore();
  void parse();
  bool parseOne();
  void onReaderState();
  void updateArrivalTimer(bool hadHead);
  void onArrivalTimeout();
  void chargeBuffers();
  void handOver();
  void refuse(unsigned status, const std::string &text, HeaderList list = {});
  void onPeerEnded();
  void onBroken();
  void linger();
  void end();
};

} // namespace plantainhatch

#endif
