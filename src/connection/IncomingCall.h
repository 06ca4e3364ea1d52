/** \file
 * One HTTP request that this process serves. */
#ifndef PLANTAINHATCH_CONNECTION_INCOMINGCALL_H
#define PLANTAINHATCH_CONNECTION_INCOMINGCALL_H

#include "base/Time.h"
#include "connection/AnswerSource.h"
#include "request/CallRequest.h"

#include <functional>
#include <string>

namespace plantainhatch {

class ServerConnection;

/** A request and the way to answer it: at once, or as a stream. Used on the
 * main loop only. */
class IncomingCall
    : public boost::intrusive_ref_counter<IncomingCall,
                                          boost::thread_unsafe_counter> {
public:
  using Action = std::function<void()>;

  IncomingCall(boost::intrusive_ptr<ServerConnection> connection,
               CallRequest request, TimePoint readAt);
  ~IncomingCall();
  IncomingCall(const IncomingCall &) = delete;
  IncomingCall &operator=(const IncomingCall &) = delete;
  IncomingCall(IncomingCall &&) = delete;
  IncomingCall &operator=(IncomingCall &&) = delete;

  const CallRequest &request() const { return callRequest; }
  /** When the last bytes of the request were read. It may have waited since for
   * others on its connection. */
  TimePoint readAt() const { return arrival; }
  /** True if requests that came before on the connection have not been
   * answered. */
  bool isBehindOthers() const;
  /** The IP number of the other side. */
  std::string remoteHost() const { return peer.host; }

  /** Tells connections of one other side apart. */
  std::string connectionName() const { return peer.toString(); }

  /** Calls \p action if the other side goes before it was answered in full. */
  void onGone(Action action) { goneAction = std::move(action); }

  /** True if the other side has closed, even if \ref onGone() has not been
   * called yet, as the main loop was busy. */
  bool hasCallerLeft() const;

  /** Answers whole. \pre Nothing was answered before. */
  void reply(unsigned status, const HeaderList &headers,
             const std::string &body);

  /** Starts a stream. \pre Nothing was answered before. */
  void startStream(const AnswerHead &head);
  /** Sends a chunk and calls \p written when it has left. \pre startStream()
   * was called. */
  void writeChunk(GBytes *bytes, Action written);
  /** Ends the stream. \pre All chunks were written. */
  void endStream();

  /** Closes the connection so that the other side sees that the answer is not
   * whole. */
  void abort();

  /** Closes the connection after this answer. Requests that were sent behind
   * this one are neither begun from now on nor answered. */
  void closeAfterAnswer() { mustClose = true; }
  bool closesConnection() const { return mustClose; }

private:
  friend class ServerConnection;

  /** Null once the answer is complete or the connection is gone. */
  boost::intrusive_ptr<ServerConnection> connection;
  CallRequest callRequest;
  TimePoint arrival;
  Address peer;
  Action goneAction;
  bool mustClose = false;
  bool isChunked = false;

  std::string makeHead(unsigned status, const HeaderList &headers) const;
  void finish();
  /** The connection has gone. */
  void leave();
};

/** A shared call. */
using IncomingCallPtr = boost::intrusive_ptr<IncomingCall>;

} // namespace plantainhatch

#endif
