/** \file
 * One HTTP request that this process serves. */
#ifndef PLANTAINHATCH_CONNECTION_INCOMINGCALL_H
#define PLANTAINHATCH_CONNECTION_INCOMINGCALL_H

#include "connection/AnswerSource.h"
#include "request/CallRequest.h"

#include <libsoup/soup.h>

#include <functional>
#include <string>

namespace plantainhatch {

/** A request and the way to answer it: at once, or as a stream. It lives until
 * the library is done with the message. Used on the main loop only. */
class IncomingCall
    : public boost::intrusive_ref_counter<IncomingCall,
                                          boost::thread_unsafe_counter> {
public:
  using Action = std::function<void()>;

  /** Takes over a message whose body has been read, and pauses it. */
  static boost::intrusive_ptr<IncomingCall> take(SoupServerMessage *message);

  ~IncomingCall();
  IncomingCall(const IncomingCall &) = delete;
  IncomingCall &operator=(const IncomingCall &) = delete;
  IncomingCall(IncomingCall &&) = delete;
  IncomingCall &operator=(IncomingCall &&) = delete;

  const CallRequest &request() const { return callRequest; }
  /** The IP number of the other side. */
  std::string remoteHost() const;

  /** Tells connections of one other side apart. */
  std::string connectionName() const;

  /** Calls \p action if the other side goes before it was answered in full. */
  void onGone(Action action) { goneAction = std::move(action); }

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

  /** Closes the connection after this answer. */
  void closeAfterAnswer() { mustClose = true; }

private:
  GObjectPtr<SoupServerMessage> message;
  CallRequest callRequest;
  Action goneAction;
  Action writtenAction;
  int watchedFd = -1;
  bool mustClose = false;
  bool isEnded = false;
  bool isPaused = true;

  explicit IncomingCall(SoupServerMessage *message);

  void readRequest();
  void watchHangup();
  void onHangup();
  void stopWatching();
  void setHead(unsigned status, const HeaderList &headers);
  void resume();
  void finish();

  static void onWroteChunk(SoupServerMessage *message, gpointer data);
  static void onFinished(SoupServerMessage *message, gpointer data);
};

/** A shared call. */
using IncomingCallPtr = boost::intrusive_ptr<IncomingCall>;

} // namespace plantainhatch

#endif
