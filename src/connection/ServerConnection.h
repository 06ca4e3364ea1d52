/** \file
 * One connection of another process to this one. */
#ifndef PLANTAINHATCH_CONNECTION_SERVERCONNECTION_H
#define PLANTAINHATCH_CONNECTION_SERVERCONNECTION_H

#include "connection/AnswerSlot.h"
#include "connection/HttpMessageReader.h"
#include "connection/StreamSocket.h"
#include "connection/Timer.h"

#include <boost/intrusive/list.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <vector>

namespace plantainhatch {

/** Reads requests, hands them over and sends the answers in order. Requests for
 * which a predicate holds run at the same time; any other one is begun when all
 * before it have been answered, and those behind it after its own answer. It
 * lives until it is closed. Used on the main loop only. */
class ServerConnection
    : public boost::intrusive_ref_counter<ServerConnection,
                                          boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>,
      private ReadyHandler {
public:
  using Handler = std::function<void(const IncomingCallPtr &)>;
  using Predicate = std::function<bool(const CallRequest &)>;
  using Action = std::function<void()>;

  /** Bodies of requests are held in memory, as they may have to be sent again.
   */
  static constexpr std::size_t MaxBodyBytes = 1024UL * 1024;
  /** Requests that were taken in and not yet answered in full. */
  static constexpr std::size_t MaxRequests = 16;
  /** Requests of all connections that run and are not in front. While there are
   * as many, only those in front are begun. */
  static constexpr std::size_t MaxBesideOthers = 1'024;
  /** No further request is taken in while those of the connection, and answers
   * that wait to be sent, hold as much. */
  static constexpr std::size_t MaxHeldBytes = 256UL * 1024;
  /** A streamed answer that waits for its turn is read ahead up to here. */
  static constexpr std::size_t MaxHeldStreamBytes = 64UL * 1024;
  /** What is read ahead while no further request is taken in. */
  static constexpr std::size_t MaxReadAhead = 64UL * 1024;
  /** How long a request may take to arrive, from its first byte on. */
  static constexpr std::chrono::seconds MaxArrivalTime{60};
  /** The same for its head. */
  static constexpr std::chrono::seconds MaxHeadTime{10};
  /** How long a connection waits for the other side to close after the last
   * answer, so that this answer is not lost to a reset. */
  static constexpr std::chrono::seconds LingerTime{1};

  /** Serves a connection. \param handler and \p mayRunBeside, which may be
   * empty, outlive it, or closeWhenIdle() is called before they end. */
  static boost::intrusive_ptr<ServerConnection>
  serve(StreamSocket socket, const Handler &handler,
        const Predicate &mayRunBeside);

  Address peer() const { return socket.peer(); }
  /** True if requests before that of \p call have not been answered. */
  bool isBehindOthers(const IncomingCall &call) const {
    return !line.empty() && line.front().call != &call;
  }

  /** True if the other side has closed, even if the main loop has not reported
   * it yet. */
  bool hasPeerClosed() const {
    return isDone || hasPeerEnded || socket.hasPeerClosed();
  }

  /** Sends bytes of an answer, or keeps them until all before it has left. */
  void send(const IncomingCall &call, std::string_view bytes) {
    sendThen(call, bytes, nullptr);
  }
  /** Sends bytes and calls \p written when they have left, or when they are
   * kept and more may be kept besides. */
  void sendThen(const IncomingCall &call, std::string_view bytes,
                Action written);
  /** The answer is going to be sent in parts, and may break off. */
  void onStreamed(const IncomingCall &call);
  /** The answer is complete. */
  void onAnswered(const IncomingCall &call);
  /** The answer stays incomplete. The connection ends, so that the other side
   * sees a reset; if other answers are before this one, it is closed behind
   * what there is of this one. */
  void onAborted(const IncomingCall &call);
  /** Begins no further requests. */
  void closeWhenIdle();

private:
  /** When a part of the stream was read. */
  struct ReadMark {
    /** Offset in the stream. */
    std::uint64_t end;
    TimePoint at;
  };

  /** Reads within this time are one part. */
  static constexpr std::chrono::milliseconds ReadMarkTime{5};
  static constexpr std::size_t MaxReadMarks = 256;

  StreamSocket socket;
  const Handler *handler;
  const Predicate *mayRunBeside;
  HttpMessageReader reader{HTTP_REQUEST};
  /** Bytes that were read and not yet parsed. */
  std::string input;
  /** Bytes of the stream that were read, and of these, that were parsed. */
  std::uint64_t readBytes = 0;
  std::uint64_t parsedBytes = 0;
  /** In the order of the stream; from that of the last parsed byte on. */
  std::vector<ReadMark> readMarks;
  /** In the order of the requests. */
  std::list<AnswerSlot> line;
  Action writtenAction;
  Timer lingerTimer;
  /** Runs while a request is arriving. */
  Timer arrivalTimer;
  BufferCharge charge;
  /** True while a request waits for an interim answer before its body. */
  bool isAskedToContinue = false;
  /** True while further requests are not taken in. */
  bool isHeldBack = false;
  bool isAdvancing = false;
  bool isClosing = false;
  bool isLingering = false;
  bool isParsing = false;
  bool isDone = false;
  bool hasPeerEnded = false;

  ServerConnection(StreamSocket socket, const Handler &handler,
                   const Predicate &mayRunBeside);

  void onReady(std::uint32_t events) override;
  void readMore();
  void markRead(std::size_t bytes);
  void markParsed(std::size_t bytes);
  /** When the last byte that was parsed had been read. */
  TimePoint lastParsedReadAt() const;
  bool hasRoom() const;
  bool mayParse() const;
  void parse();
  bool parseOne();
  void sendContinue();
  void onReaderState();
  void updateArrivalTimer(bool hadHead);
  void startArrivalTimer();
  void onArrivalTimeout();
  void chargeBuffers();
  void handOver();
  /** Puts a call that was begun or not at the end of the line. */
  AnswerSlot &enqueue(const IncomingCallPtr &call);
  std::list<AnswerSlot>::iterator slotOf(const IncomingCall &call);
  std::size_t lineBytes() const;
  /** Sends what can be sent in order, and begins what may be begun. */
  void advance();
  /** \return true if an answer has left the line. */
  bool deliverFront();
  /** \return true if a request was begun. */
  bool beginNext();
  void write(std::string_view bytes, Action written);
  std::vector<IncomingCallPtr> takeFrom(std::list<AnswerSlot>::iterator first);
  /** Gives up requests without an answer. */
  void dropFrom(std::list<AnswerSlot>::iterator first);
  /** Gives up all requests and the connection. */
  void breakOff(bool isReset);
  void refuse(unsigned status, const std::string &text, HeaderList list = {});
  void onPeerEnded();
  void linger();
  void end();
};

} // namespace plantainhatch

#endif
