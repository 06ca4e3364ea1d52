/** \file
 * Records calls that may run at most once in the platform's table. */
#ifndef PLANTAINHATCH_NODE_CLAIM_H
#define PLANTAINHATCH_NODE_CLAIM_H

#include "connection/Timer.h"
#include "node/NodeServices.h"
#include "request/ClaimDecision.h"

#include <functional>
#include <memory>
#include <string>

namespace plantainhatch {

/** Name of the table of claims, without the cluster. */
inline constexpr const char *ClaimTable = "claims";

/** The claim of one call. Writes go on in the background until they have taken
 * effect or the process ends. Used on the main loop only. */
class Claim
    : public boost::intrusive_ref_counter<Claim, boost::thread_unsafe_counter> {
public:
  /** What the call may do. */
  using Result = std::variant<ProceedAction, ReplayAction, AnswerAction>;
  using Receiver = std::function<void(Result)>;

  /** The longest pause between two tries of a write. */
  static constexpr std::chrono::seconds MaxRetryDelay{5};
  /** Tries of a write before it is left: the row then says that the call is
   * running, and after its deadline that nothing is known of it, which is safe.
   */
  static constexpr unsigned MaxTries = 60;
  /** Larger answers are not kept with the claim. */
  static constexpr std::size_t MaxAnswerBytes = 64UL * 1024;

  /** Claims \p key for the request. \p receiver is called once. */
  static boost::intrusive_ptr<Claim>
  start(NodeServices &services, std::string key, const CallRequest &request,
        WallTime deadline, Receiver receiver);

  /** The call was provably not run: another sending may run it. \pre The
   * verdict was to proceed. */
  void release();
  /** The call has ended. \pre The verdict was to proceed. */
  void finish(ClaimState state, StoredAnswer answer);

private:
  NodeServices &services;
  std::string key;
  ClaimRecord record;
  ClaimDecision decision;
  Receiver receiver;
  std::string etag;
  Timer retryTimer;
  unsigned tries = 0;

  Claim(NodeServices &services, std::string key, ClaimRecord record,
        Receiver receiver);

  void perform(ClaimAction action);
  void insert();
  void readRow();
  void deliver(Result verdict);
  void write(const Transaction &transaction);
  void onWritten(const Transaction &transaction, StoreResult result);
  void removeOrphanedRow();
};

/** A shared claim. */
using ClaimPtr = boost::intrusive_ptr<Claim>;

} // namespace plantainhatch

#endif
