/** \file
 * One call at the gate: its wait, its exchange with the target, its end. */
#ifndef PLANTAINHATCH_NODE_GATECALL_H
#define PLANTAINHATCH_NODE_GATECALL_H

#include "connection/Exchange.h"
#include "connection/Timer.h"
#include "process/Gate.h"

#include <boost/intrusive/list_hook.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <variant>

namespace plantainhatch {

class GateTask;

/** A call that is to be handed to the target. */
struct DispatchRequest {
  /** Shared, as several attempts may be under way at once. */
  std::shared_ptr<const CallRequest> request;
  std::string service;
  std::uint64_t fingerprint = 0;
  TimePoint deadline;
  bool mayQueue = false;
  /** The call goes out on a connection that no other call has used. */
  bool needsFreshConnection = false;
  /** The rank in the gate's queue; 0 goes first. */
  unsigned priority = 0;
};

/** The target answers. */
struct DispatchAnswer {
  AnswerHead head;
  AnswerSourcePtr source;
};

/** The call was provably not run. */
struct DispatchRefusal {
  Refusal refusal = Refusal::None;
};

/** Whether the call was run is not known. */
struct DispatchFailure {
  bool didTargetDie = false;
  std::string reason;
};

/** What became of a hand-over. */
using DispatchResult =
    std::variant<DispatchAnswer, DispatchRefusal, DispatchFailure>;

/** Holds one slot of the gate from admission until the answer has been read to
 * its end or has broken off, or, once it is given up, until the target has let
 * go of it. Used on the main loop only. */
class GateCall
    : public AnswerSource,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
  /** Called once. */
  using Receiver = std::function<void(DispatchResult)>;

  GateCall(GateTask &gateTask, CallId id, DispatchRequest handOver,
           Receiver receiver);
  ~GateCall() override;
  GateCall(const GateCall &) = delete;
  GateCall &operator=(const GateCall &) = delete;
  GateCall(GateCall &&) = delete;
  GateCall &operator=(GateCall &&) = delete;

  /** Sends the call to the target. \pre The gate has admitted it. */
  void start();
  /** Ends the call, which the gate has not admitted. */
  void refuse(Refusal refusal);

  /** Reads the target's answer. */
  void read(ChunkReceiver receiver) override;
  /** Gives up, in any state: the target sees its connection close. The slot is
   * free when the target has closed it, too. */
  void cancel() override;

  CallId id() const { return callId; }

private:
  enum class State : std::uint8_t { Waiting, Sent, Answered, Ended };

  GateTask &task;
  CallId callId;
  DispatchRequest dispatchRequest;
  Receiver receiver;
  State state = State::Waiting;
  std::string bootId;
  /** Its place in the gate's list while it is at the target. */
  std::multiset<std::string>::iterator idInFlight;
  boost::intrusive_ptr<Exchange> exchange;
  Timer deadlineTimer;

  void onDeadline();
  void onHead(Exchange::Result result);
  void onAnswer(AnswerHead head);
  void onNotRun(Refusal refusal);
  void onForeignAnswer();
  void onError(const ExchangeError &error);
  void giveUp(GateOutcome outcome);
  void end(GateOutcome outcome);
  void markEnded();
  void deliver(DispatchResult result);
  HeaderList extraHeaders() const;
};

/** A shared call. */
using GateCallPtr = boost::intrusive_ptr<GateCall>;

} // namespace plantainhatch

#endif
