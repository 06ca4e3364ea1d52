/** \file
 * The place of one request in the line of its connection. */
#ifndef PLANTAINHATCH_CONNECTION_ANSWERSLOT_H
#define PLANTAINHATCH_CONNECTION_ANSWERSLOT_H

#include "connection/IncomingCall.h"

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace plantainhatch {

/** Counts the requests of the process that run behind others, for as long as
 * each is marked. Used on the main loop only. */
class BesideMark {
public:
  BesideMark() = default;
  ~BesideMark() { set(false); }
  BesideMark(const BesideMark &) = delete;
  BesideMark &operator=(const BesideMark &) = delete;
  BesideMark(BesideMark &&) = delete;
  BesideMark &operator=(BesideMark &&) = delete;

  void set(bool isWanted) {
    if (std::exchange(isSet, isWanted) != isWanted)
      isWanted ? ++count : --count;
  }
  static std::size_t all() { return count; }

private:
  bool isSet = false;
  static inline std::size_t count = 0;
};

/** A request that was read and has not been answered in full, and what of its
 * answer waits for those before it. Used on the main loop only. */
struct AnswerSlot {
  /** Null once the answer is complete. */
  IncomingCall *call = nullptr;
  /** Set until the request is begun. */
  IncomingCallPtr waiting;
  /** What the request has allocated. */
  std::size_t requestBytes = 0;
  /** What is to be sent when all before has left. */
  std::string held;
  /** Called when \ref held has left. */
  std::function<void()> written;
  BesideMark beside;
  /** True if requests behind this one may run beside it. */
  bool runsBeside = false;
  /** True while the answer is sent in parts. */
  bool isStreaming = false;
  bool isEnded = false;
  bool mustClose = false;

  /** True if the connection is closed behind this answer. */
  bool closes() const {
    return mustClose || (call != nullptr && call->closesConnection());
  }
  std::size_t bytes() const { return requestBytes + held.capacity(); }
};

} // namespace plantainhatch

#endif
