/** \file
 * Dispatches a call to the gate of another node. */
#ifndef PLANTAINHATCH_NODE_REMOTEDISPATCH_H
#define PLANTAINHATCH_NODE_REMOTEDISPATCH_H

#include "connection/Exchange.h"
#include "node/GateCall.h"
#include "node/MeasureTask.h"
#include "node/NodeServices.h"
#include "request/Candidate.h"

namespace plantainhatch {

/** Forwards a call, and maps the other node's answer to the same results as
 * those of the local gate. Not thread-safe: main loop only. */
class RemoteDispatch : public AnswerSource {
public:
  /** Sends the call to the node of \p candidate. \param receiver is
   * called once, after this has returned, unless the attempt is cancelled
   * first. \return the answer body, to be read after a DispatchAnswer. \pre
   * \p services and \p measure outlive the attempt. */
  static AnswerSourcePtr start(NodeServices &services, MeasureTask &measure,
                               const Candidate &candidate,
                               const DispatchRequest &dispatchRequest,
                               GateCall::Receiver receiver);

  void read(ChunkReceiver receiver) override {
    exchange->read(std::move(receiver));
  }
  void cancel() override;

private:
  NodeServices &services;
  MeasureTask &measure;
  /** Peers address of the other node, which identifies it in the load table. */
  Address gatePeersAddress;
  GateCall::Receiver receiver;
  boost::intrusive_ptr<Exchange> exchange;

  RemoteDispatch(NodeServices &services, MeasureTask &measure, Address gate,
                 GateCall::Receiver receiver);

  void onHead(Exchange::Result result);
  void onAnswer(AnswerHead head);
  /** Advances the hybrid clock to the other node's timestamp, and stores its
   * load report. */
  void updateLoad(const AnswerHead &head);
  void deliver(DispatchResult result);
};

/** The most that drain() reads. */
inline constexpr std::size_t MaxDrainedBytes = 16UL * 1024 * 1024;
/** How long drain() reads. */
inline constexpr std::chrono::seconds MaxDrainTime{60};

/** Reads and discards the rest of an answer body, so that its connection can
 * be reused. Cancels \p source after \p limit bytes or MaxDrainTime. \pre No
 * read of \p source is pending. */
void drain(const AnswerSourcePtr &source, std::size_t limit = MaxDrainedBytes);

} // namespace plantainhatch

#endif
