/** \file
 * One call of a caller, from its arrival to its answer. */
#ifndef PLANTAINHATCH_NODE_INGRESSCALL_H
#define PLANTAINHATCH_NODE_INGRESSCALL_H

#include "connection/AnswerRelay.h"
#include "connection/IncomingCall.h"
#include "connection/Timer.h"
#include "node/Claim.h"
#include "node/GateCall.h"
#include "node/IngressTask.h"
#include "request/CallDecision.h"

#include <map>
#include <memory>
#include <string>

namespace plantainhatch {

/** Carries out what CallDecision and the claim decide. It holds the
 * configuration version under which it started. Used on the main loop only. */
class IngressCall
    : public boost::intrusive_ref_counter<IngressCall,
                                          boost::thread_unsafe_counter> {
public:
  /** Serves \p incoming. \param onDone is called once when the call has ended.
   */
  static void start(IngressTask &task, const IncomingCallPtr &incoming,
                    std::function<void()> onDone);

private:
  IngressTask &task;
  IncomingCallPtr incoming;
  std::function<void()> onDone;
  ConfigurationPtr configuration;
  const ServiceRule *rule = nullptr;
  /** The part of the rule that this call goes to. */
  std::string service;
  std::shared_ptr<const CallRequest> request;
  std::uint64_t fingerprint = 0;
  TimePoint arrivedAt;
  TimePoint deadline;
  std::unique_ptr<CallDecision> decision;
  /** What was known of the load at the last pick. */
  LoadEstimate loadAtPick;
  ClaimPtr claim;
  bool isClaimHeld = false;
  /** A second run of a target that calls others would run them again, too. */
  bool mayHedge = true;
  bool isEnded = false;
  bool isCallerDisconnected = false;
  /** Attempts under way by target. */
  std::map<Address, AnswerSourcePtr> attempts;
  Timer deadlineTimer;
  Timer hedgeTimer;
  /** The part of the answer that has been read, while it is held back. */
  std::string bufferedBody;

  IngressCall(IngressTask &task, IncomingCallPtr incoming,
              std::function<void()> onDone);

  void begin();
  std::shared_ptr<const CallRequest> makeRequest() const;
  void beginClaim(const std::string &key);
  void onClaimResult(Claim::Result verdict);
  void onCallerDisconnected();
  void onDeadline();

  void perform(CallAction action);
  void forward(bool mayQueue);
  AnswerSourcePtr dispatch(const Candidate &choice, bool mayQueue,
                           const std::shared_ptr<bool> &hasResult);
  void onResult(const Address &target, DispatchResult result);
  void startHedgeTimer();

  void onAnswer(const Address &target, DispatchAnswer answer);
  bool retryOnServerError(const Address &target, const DispatchAnswer &answer);
  bool shouldBufferAnswers() const;
  void onBufferedAnswerBroken(const Address &target);
  void bufferAnswer(const Address &target, const AnswerHead &head,
                    const AnswerSourcePtr &source);
  void onBufferedChunk(const Address &target, const AnswerHead &head,
                       const AnswerSourcePtr &source, Chunk chunk);
  void relay(const Address &target, const AnswerHead &head,
             const AnswerSourcePtr &source);

  void sendLocalAnswer(const AnswerAction &answer);
  /** Writes one line about the end of this call. */
  void logCallEnd(DecisionKind kind, unsigned status,
                  std::string_view reason) const;
  /** The same about one target that gave no answer. */
  void logFailedAttempt(const Address &target, std::string_view reason) const;
  std::string formatRetryAfter(std::chrono::milliseconds delay) const;
  void reject(unsigned status, const std::string &reason);
  void replay(const StoredAnswer &answer);
  void resolveClaim(Outcome outcome);
  void cancelAttempts();
  void end();
};

} // namespace plantainhatch

#endif
