/** \file
 * State machine of one caller's request, from arrival to answer. */
#ifndef PLANTAINHATCH_NODE_INGRESSCALL_H
#define PLANTAINHATCH_NODE_INGRESSCALL_H

#include "connection/AnswerRelay.h"
#include "connection/IncomingCall.h"
#include "connection/Timer.h"
#include "node/Claim.h"
#include "node/GateCall.h"
#include "node/IngressTask.h"
#include "request/CallDecision.h"
#include "request/TeamKey.h"

#include <map>
#include <memory>
#include <string>

namespace plantainhatch {

/** Executes the actions that CallDecision and Claim return: dispatches the call
 * to targets, retries and hedges it, and relays or buffers the answer. Uses
 * the configuration that was current on arrival until the call ends. Pending
 * callbacks keep the object alive. Not thread-safe: main loop only. */
class IngressCall
    : public boost::intrusive_ref_counter<IngressCall,
                                          boost::thread_unsafe_counter> {
public:
  /** Starts serving \p incoming. \param onDone is called exactly once, when the
   * answer has been sent or the call was abandoned; possibly before start()
   * returns. \pre \p task outlives the call. */
  static void start(IngressTask &task, const IncomingCallPtr &incoming,
                    std::function<void()> onDone);

private:
  IngressTask &task;
  IncomingCallPtr incoming;
  std::function<void()> onDone;
  ConfigurationPtr configuration;
  /** The version that the call is run by: that of the configuration, or a newer
   * one that another node has. */
  std::uint64_t version = 0;
  /** Set if the rule was found at another node. */
  ServiceRulePtr foreignRule;
  /** Null if no rule matches the request. */
  const ServiceRule *rule = nullptr;
  /** Destination chosen from the rule's traffic split, or the rule's own name.
   */
  std::string service;
  /** The digest of the caller's key, once it was needed. */
  std::optional<std::string> keyDigest;
  bool isKeyRead = false;
  TeamOfCall teamOfCall;
  /** Set if the rule was found at another node and needs a key that a team
   * holds there. */
  std::optional<TeamRule> foreignTeam;
  /** Not modified after the first dispatch. */
  std::shared_ptr<CallRequest> request;
  std::uint64_t fingerprint = 0;
  /** Taken from the team's quota; given back if the call is not sent. */
  std::optional<QuotaToken> quotaToken;
  /** When the request was read, which may be before the call was begun. */
  TimePoint arrivedAt;
  TimePoint begunAt;
  TimePoint deadline;
  /** Null until the request has passed validation. */
  std::unique_ptr<CallDecision> decision;
  ClaimPtr claim;
  /** True while this call owns a claim whose outcome is not written yet. */
  bool isClaimHeld = false;
  /** False once a picked target is known to call other services, because a
   * hedge would repeat those calls as well. */
  /** True if the present attempt is not the first to reach a target. */
  bool isRepeat = false;
  bool mayHedge = true;
  bool isEnded = false;
  bool isCallerDisconnected = false;
  /** One attempt in flight. */
  struct Attempt {
    AnswerSourcePtr source;
    /** The target's load estimate when it was picked, for the decision log. */
    LoadEstimate loadAtPick;
    TimePoint startedAt;
    /** The order of a roll-out of the service at that moment; 0 if there was
     * none. */
    std::uint64_t rolloutOrder = 0;
    /** True if the target is of the version that the order names. */
    bool isOrdered = false;
    /** True once it counts for the roll-out. */
    bool isCounted = false;
  };
  /** By the peers address of the target's node. */
  std::map<Address, Attempt> attempts;
  Timer deadlineTimer;
  Timer hedgeTimer;
  /** Body bytes read so far of a buffered answer. */
  std::string bufferedBody;
  BufferCharge bufferedCharge;

  IngressCall(IngressTask &task, IncomingCallPtr incoming,
              std::function<void()> onDone);

  void begin();
  /** Finds the rule and the team in the configuration. */
  void findRule();
  const std::optional<std::string> &digestOfKey();
  /** Admits the call if the version shows that it may be run, and otherwise
   * finds out whether that is the newest one. */
  void proceed();
  /** True if a rule matches, and the caller has the key that it needs. */
  bool isAllowed() const {
    return rule != nullptr && teamOfCall.status != KeyStatus::Unknown;
  }
  /** True if the call needs no key, or the version that shows who holds it is
   * known to have been the newest lately enough. */
  bool isKeyProved();
  /** Finds the rule at a node that has a newer version. */
  void lookUpRule();
  void onRuleLookedUp(std::optional<RuleLookup::Result> result);
  /** Runs the call by a version that has come into force meanwhile, if that has
   * the same rule for it. */
  void updateVersion();
  /** The host that the request names, without a port. */
  std::string host() const;
  /** Denies the call only if the configuration is known to be the newest. */
  void checkNewest();
  void onFreshnessChecked(bool isNewest);
  /** \pre A rule was found. */
  void admit();
  std::shared_ptr<CallRequest> makeRequest() const;
  /** Names the team to the target, which does not get the key. */
  void setTeamHeader();
  /** Takes a token from the quota of the team, and goes on. */
  void takeQuota();
  void onQuotaDecision(const QuotaDecision &quota);
  void giveQuotaBack();
  /** Runs the call, or claims its key first. */
  void run();
  /** What idempotency keys are unique within. */
  std::string claimScope() const;
  void beginClaim(const std::string &key);
  void onClaimResult(Claim::Result result);
  void onCallerDisconnected();
  void onDeadline();

  void perform(CallAction action);
  void forward(bool mayQueue);
  /** That of the team, or else that of the rule. */
  unsigned priority() const;
  /** Until when the caller expects the answer, if the rule says so. */
  std::optional<TimePoint> dueAt() const;
  AnswerSourcePtr dispatch(const Candidate &candidate, bool mayQueue,
                           const std::shared_ptr<bool> &hasResult);
  void onResult(const Address &target, DispatchResult result);
  void startHedgeTimer();

  void onAnswer(const Address &target, DispatchAnswer answer);
  /** Drops a 5xx answer to an idempotent call, in site mode only, and retries
   * on another target or waits for another attempt. \return false, with the
   * answer untouched, if neither is possible. */
  bool retryOnServerError(const Address &target, const DispatchAnswer &answer);
  /** True if an answer is read completely, up to Claim::MaxAnswerBytes, before
   * the caller gets its first byte. */
  bool shouldBufferAnswers() const;
  void onBufferedAnswerBroken(const Address &target,
                              const LoadEstimate &loadAtPick);
  /** Reads the next chunk of a buffered answer. */
  void bufferAnswer(const Address &target, const AnswerHead &head,
                    const AnswerSourcePtr &source);
  void onBufferedChunk(const Address &target, const AnswerHead &head,
                       const AnswerSourcePtr &source, Chunk chunk);
  void onAnswerStalled(const Address &target);
  /** Takes an attempt out of the map and out of the target's load estimate.
   * \param failed as for LoadTable::onEnded(). */
  Attempt endAttempt(const Address &target, bool failed);
  /** Counts how an attempt ended towards the roll-out of the service, once. */
  void recordForRollout(Attempt &attempt, AttemptEnd end);
  /** Streams the answer to the caller. */
  void relay(const Address &target, const AnswerHead &head,
             const AnswerSourcePtr &source);

  /** Ends the call with an answer that this node makes itself. */
  void sendLocalAnswer(const AnswerAction &answer);
  /** Writes a decision log line for the end of the call. */
  void logCallEnd(DecisionKind kind, unsigned status,
                  std::string_view reason) const;
  /** How long ago the configuration was known to be the newest; negative if it
   * is not known. */
  std::chrono::milliseconds confirmationAge(TimePoint now) const;
  /** Writes a decision log line for an attempt without a usable answer. */
  void logFailedAttempt(const Address &target, const LoadEstimate &loadAtPick,
                        std::string_view reason) const;
  std::string formatRetryAfter(std::chrono::milliseconds delay) const;
  /** Ends the call as not run, without Retry-After. */
  void reject(unsigned status, const std::string &reason);
  /** Ends the call as not run for now. */
  void rejectForNow(const std::string &reason);
  /** Ends the call with the answer stored by an earlier call with the same
   * idempotency key. */
  void replay(const StoredAnswer &answer);
  /** Releases the claim if the call was not run, or records its outcome as
   * unknown. Does nothing if no claim is held. */
  void resolveClaim(Outcome outcome);
  void cancelAttempts();
  void end();
};

} // namespace plantainhatch

#endif
