/** \file
 * Hands a call to the gate of another node. */
#ifndef PLANTAINHATCH_NODE_REMOTEDISPATCH_H
#define PLANTAINHATCH_NODE_REMOTEDISPATCH_H

#include "connection/Exchange.h"
#include "node/GateCall.h"
#include "node/MeasureTask.h"
#include "node/NodeServices.h"
#include "request/Candidate.h"

namespace plantainhatch {

/** Forwards a call, and turns what the other node says into the same results
 * that the gate beside this node gives. Used on the main loop only. */
class RemoteDispatch : public AnswerSource {
public:
  /** Starts a hand-over to \p choice. \p receiver is called once, unless it is
   * cancelled before. */
  static AnswerSourcePtr start(NodeServices &services, MeasureTask &measure,
                               const Candidate &choice,
                               const DispatchRequest &handOver,
                               std::uint64_t version,
                               GateCall::Receiver receiver);

  void read(ChunkReceiver receiver) override {
    exchange->read(std::move(receiver));
  }
  void cancel() override;

private:
  NodeServices &services;
  MeasureTask &measure;
  Address gate;
  GateCall::Receiver receiver;
  boost::intrusive_ptr<Exchange> exchange;

  RemoteDispatch(NodeServices &services, MeasureTask &measure, Address gate,
                 GateCall::Receiver receiver);

  void onHead(Exchange::Result result);
  void onAnswer(AnswerHead head);
  void updateLoad(const AnswerHead &head);
  void deliver(DispatchResult result);
};

/** Reads the rest of an answer that nobody wants, so that its connection can be
 * used again. */
void drain(const AnswerSourcePtr &source);

} // namespace plantainhatch

#endif
