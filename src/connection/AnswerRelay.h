/** \file
 * Pumps an answer from where it is read to the one who waits for it. */
#ifndef PLANTAINHATCH_CONNECTION_ANSWERRELAY_H
#define PLANTAINHATCH_CONNECTION_ANSWERRELAY_H

#include "connection/AnswerSource.h"
#include "connection/IncomingCall.h"
#include "connection/Timer.h"

#include <functional>
#include <string>

namespace plantainhatch {

/** How a relayed answer ended. */
enum class RelayResult : std::uint8_t {
  Whole,
  /** The source broke off; the receiver's connection was aborted. */
  Broken,
  /** The receiver went away; the source was cancelled. */
  ReceiverGone
};

/** Reads a chunk, writes it, and reads the next one when it has left. One chunk
 * is in memory at a time. Used on the main loop only. */
class AnswerRelay
    : public boost::intrusive_ref_counter<AnswerRelay,
                                          boost::thread_unsafe_counter> {
public:
  using Done = std::function<void(RelayResult)>;
  /** An answer that has not ended after this time is broken off. */
  static constexpr std::chrono::hours MaxTime{1};
  /** Sees each chunk on its way. */
  using Observer = std::function<void(GBytes *)>;

  /** Starts to relay. It lives until its end. \param idleLimit is how long the
   * source may pause between two chunks. \param done is called once. \param
   * observer may be empty. */
  static void start(const IncomingCallPtr &receiver, const AnswerHead &head,
                    const AnswerSourcePtr &source, Duration idleLimit,
                    Done done, Observer observer);

private:
  IncomingCallPtr receiver;
  AnswerSourcePtr source;
  Duration idleLimit;
  TimePoint startedAt;
  Done done;
  Observer observer;
  Timer idleTimer;
  std::optional<std::uint64_t> expected;
  std::uint64_t relayed = 0;

  AnswerRelay() = default;

  void readNext();
  void onChunk(Chunk chunk);
  void onEnd();
  void breakOff();
  void finish(RelayResult result);
};

} // namespace plantainhatch

#endif
