#include "node/GateCall.h"

#include "node/GateTask.h"

#include "request/HttpStatus.h"

#include <algorithm>

namespace plantainhatch {

GateCall::GateCall(GateTask &gateTask, CallId id,
                   DispatchRequest dispatchRequest, Receiver receiver)
    : task(gateTask), callId(id), dispatchRequest(std::move(dispatchRequest)),
      receiver(std::move(receiver)) {}

GateCall::~GateCall() {
  if (state == State::Waiting)
    task.gate.cancelQueued(callId);
  if (state != State::Sent && state != State::Answered)
    return;
  giveUp(GateOutcome::Cancelled);
}

void GateCall::start() {
  state = State::Sent;
  idInFlight = task.idsInFlight.insert(dispatchRequest.request->id);
  if (dispatchRequest.isRepeat)
    task.repeatsInFlight.insert(callId);
  bootId = task.gate.target().bootId;
  task.services.metrics.add("gate_handed_over_total");
  const GateCallPtr self(this);
  deadlineTimer.startOnce(dispatchRequest.deadline - NodeServices::now(),
                          [self] { self->onDeadline(); });
  exchange = Exchange::start(
      task.services.session.get(), *dispatchRequest.request,
      {task.gate.target().address, extraHeaders(),
       dispatchRequest.needsFreshConnection},
      [self](Exchange::Result result) { self->onHead(std::move(result)); });
}

void GateCall::refuse(Refusal refusal) {
  state = State::Ended;
  deadlineTimer.stop();
  deliver(DispatchRefusal{refusal});
}

void GateCall::read(ChunkReceiver chunkReceiver) {
  const GateCallPtr self(this);
  exchange->read([self, chunkReceiver = std::move(chunkReceiver)](Chunk chunk) {
    if (std::holds_alternative<BodyEnd>(chunk)) {
      self->task.crashes.onRequestCompleted(self->dispatchRequest.fingerprint);
      self->end(GateOutcome::Completed);
    } else if (std::holds_alternative<BodyBroken>(chunk)) {
      self->task.crashes.onFailure(self->task.gate, self->bootId,
                                   [](bool /*didTargetCrash*/) {});
      self->end(GateOutcome::Failed);
    }
    chunkReceiver(std::move(chunk));
  });
}

void GateCall::cancel() {
  const GateCallPtr self(this);
  receiver = nullptr;
  if (state == State::Waiting) {
    state = State::Ended;
    deadlineTimer.stop();
    task.gate.cancelQueued(callId);
    unlink();
    return;
  }
  if (state == State::Ended)
    return;
  giveUp(GateOutcome::Cancelled);
}

void GateCall::onDeadline() {
  if (state != State::Sent)
    return;
  giveUp(GateOutcome::TimedOut);
  deliver(DispatchFailure{false, "deadline"});
}

void GateCall::onHead(Exchange::Result result) {
  if (state != State::Sent)
    return;
  deadlineTimer.stop();
  if (auto *const head = std::get_if<AnswerHead>(&result))
    onAnswer(std::move(*head));
  else
    onError(std::get<ExchangeError>(result));
}

void GateCall::onAnswer(AnswerHead head) {
  const CallProtocol &callProtocol = task.services.callProtocol;
  if (const auto load = callProtocol.readLoad(head.headers))
    task.updateLoad(*load);
  switch (callProtocol.classify(head.status, head.headers,
                                dispatchRequest.request->id)) {
  case AnswerKind::NotRun:
    onNotRun(Refusal::TargetShed);
    return;
  case AnswerKind::WrongTarget:
    onNotRun(Refusal::WrongTarget);
    return;
  case AnswerKind::Foreign:
    onForeignAnswer();
    return;
  case AnswerKind::Genuine:
    break;
  }
  state = State::Answered;
  const TimePoint now = NodeServices::now();
  const bool isFailure = head.status >= httpStatus::InternalServerError;
  task.gate.recordAnswer(isFailure, now);
  task.gate.onAnswerHead(callId, now, isFailure);
  removeHopByHopHeaders(head.headers);
  deliver(DispatchAnswer{std::move(head), this});
}

void GateCall::onNotRun(Refusal refusal) {
  exchange->cancel();
  end(GateOutcome::Shed);
  deliver(DispatchRefusal{refusal});
}

void GateCall::onForeignAnswer() {
  // The answer does not match this request, so the connection is out of sync
  // and must not be reused.
  exchange->cancel();
  task.gate.recordAnswer(true, NodeServices::now());
  end(GateOutcome::Failed);
  deliver(DispatchFailure{false, "foreign-answer"});
}

void GateCall::onError(const ExchangeError &error) {
  if (error.isProvablyUnsent) {
    end(GateOutcome::NotConnected);
    task.markTargetLost(error.message);
    deliver(DispatchRefusal{Refusal::NotConnected});
    return;
  }
  task.gate.recordAnswer(true, NodeServices::now());
  // The crash check takes the fingerprints of the calls in flight, which must
  // include this one: end() comes after it.
  const GateCallPtr self(this);
  task.crashes.onFailure(
      task.gate, bootId, [self, reason = error.message](bool didTargetCrash) {
        self->deliver(DispatchFailure{didTargetCrash,
                                      didTargetCrash ? "target-died" : reason});
      });
  end(GateOutcome::Failed);
}

void GateCall::giveUp(GateOutcome outcome) {
  markEnded();
  task.giveUp(callId, outcome);
  exchange->giveUp([&gateTask = task, id = callId] {
    gateTask.finish(id, GateOutcome::Cancelled);
  });
}

void GateCall::end(GateOutcome outcome) {
  if (state == State::Ended)
    return;
  markEnded();
  task.finish(callId, outcome);
}

void GateCall::markEnded() {
  state = State::Ended;
  deadlineTimer.stop();
  task.idsInFlight.erase(idInFlight);
}

void GateCall::deliver(DispatchResult result) {
  if (const Receiver action = std::exchange(receiver, nullptr))
    action(std::move(result));
}

HeaderList GateCall::extraHeaders() const {
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
      dispatchRequest.deadline - NodeServices::now());
  const CallProtocol &callProtocol = task.services.callProtocol;
  HeaderList list{
      {callProtocol.requestIdHeader, dispatchRequest.request->id},
      {callProtocol.timeoutMsHeader,
       std::to_string(std::max<std::int64_t>(1, remaining.count()))}};
  if (!callProtocol.expectedTargetHeader.empty())
    list.emplace_back(callProtocol.expectedTargetHeader, bootId);
  return list;
}

} // namespace plantainhatch
