/** \file
 * State machine of one call at the local gate, from admission to completion. */
#ifndef PLANTAINHATCH_NODE_GATECALL_H
#define PLANTAINHATCH_NODE_GATECALL_H

#include "connection/Exchange.h"
#include "connection/Timer.h"
#include "process/Gate.h"

#include <boost/intrusive/list_hook.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace plantainhatch {

class GateTask;

/** A call to be dispatched to a target. */
struct DispatchRequest {
  /** Shared between concurrent attempts of the same call. */
  std::shared_ptr<const CallRequest> request;
  std::string service;
  std::uint64_t fingerprint = 0;
  TimePoint deadline;
  /** Whether the gate may queue the call while it has no free slot. */
  bool mayQueue = false;
  /** Whether another target may have run the call. */
  bool isRepeat = false;
  /** Whether the call needs a connection that no other call has used. */
  bool needsFreshConnection = false;
  /** Priority in the gate's queue; 0 is the most urgent. */
  unsigned priority = 0;
  /** Longest wait in the queue of a cold target; see GateRequest. */
  std::chrono::milliseconds maxColdWait = std::chrono::milliseconds::max();
  /** The configuration version that the ingress runs the call by. */
  std::uint64_t version = 0;
  /** Tells the calls of one rule from those of others. */
  std::string kind;
  /** Until when callers expect the answer; not set if that is not known. */
  std::optional<TimePoint> dueAt = std::nullopt;
  /** Whether a target makes the call during a run. */
  bool isNested = false;
};

/** The target has sent the head of its answer. */
struct DispatchAnswer {
  AnswerHead head;
  AnswerSourcePtr source;
};

/** The call was provably not run. */
struct DispatchRefusal {
  Refusal refusal = Refusal::None;
};

/** The attempt failed, and whether the call was run is unknown. */
struct DispatchFailure {
  /** True if the target is known to have crashed. */
  bool didTargetCrash = false;
  std::string reason;
};

/** Result of dispatching a call to a target. */
using DispatchResult =
    std::variant<DispatchAnswer, DispatchRefusal, DispatchFailure>;

/** One call at the local gate. Occupies a slot from admission until the answer
 * body has been read completely or has broken off. An abandoned call keeps its
 * slot until the target has stopped working on it, as reported by
 * Exchange::giveUp(). Not thread-safe: main loop only. */
class GateCall
    : public AnswerSource,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
  /** Called once, unless the call is cancelled first. */
  using Receiver = std::function<void(DispatchResult)>;

  /** \pre \p gateTask outlives the call. */
  GateCall(GateTask &gateTask, CallId id, DispatchRequest dispatchRequest,
           Receiver receiver);
  /** Abandons the call unless it has ended. */
  ~GateCall() override;
  GateCall(const GateCall &) = delete;
  GateCall &operator=(const GateCall &) = delete;
  GateCall(GateCall &&) = delete;
  GateCall &operator=(GateCall &&) = delete;

  /** Sends the call to the target. \pre The gate has admitted it. */
  void start();
  /** Ends the call with a refusal. \pre The gate has not admitted it. */
  void refuse(Refusal refusal);

  /** Reads the next chunk of the answer body, and ends the call after the last
   * one. */
  void read(ChunkReceiver receiver) override;
  /** Abandons the call in any state. A queued call leaves the queue. For a
   * call that was sent, the sending side of the connection is closed, and the
   * slot is freed when the target closes its side or has answered in full. */
  void cancel() override;

  CallId id() const { return callId; }
  const std::string &requestId() const { return dispatchRequest.request->id; }
  unsigned priority() const { return dispatchRequest.priority; }
  /** True if another target may have run the call. */
  bool isRepeat() const { return dispatchRequest.isRepeat; }
  /** The configuration version that the call is run by. */
  std::uint64_t version() const { return dispatchRequest.version; }

private:
  enum class State : std::uint8_t { Waiting, Sent, Answered, Ended };

  GateTask &task;
  CallId callId;
  DispatchRequest dispatchRequest;
  Receiver receiver;
  State state = State::Waiting;
  /** Boot ID of the target that the call was sent to. */
  std::string bootId;
  /** Entry in GateTask::idsInFlight. Valid in the states Sent and Answered. */
  std::multiset<std::string>::iterator idInFlight;
  boost::intrusive_ptr<Exchange> exchange;
  Timer deadlineTimer;

  void onDeadline();
  void onHead(Exchange::Result result);
  void onAnswer(AnswerHead head);
  void onNotRun(Refusal refusal);
  void onForeignAnswer();
  void onError(const ExchangeError &error);
  /** Abandons a call that was sent. */
  void giveUp(GateOutcome outcome);
  /** Ends the call and frees its slot. */
  void end(GateOutcome outcome);
  /** Marks the call as ended; the slot stays occupied. */
  void markEnded();
  void deliver(DispatchResult result);
  HeaderList extraHeaders() const;
};

/** A shared call. */
using GateCallPtr = boost::intrusive_ptr<GateCall>;

} // namespace plantainhatch

#endif
