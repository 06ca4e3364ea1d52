/** \file
 * Claims in the platform's table, which make calls run at most once. */
#ifndef PLANTAINHATCH_NODE_CLAIM_H
#define PLANTAINHATCH_NODE_CLAIM_H

#include "connection/Timer.h"
#include "node/NodeServices.h"
#include "request/ClaimDecision.h"

#include <functional>
#include <memory>
#include <string>

namespace plantainhatch {

/** Name of the claims table, without the cluster prefix. */
inline constexpr const char *ClaimTable = "claims";

/** The claim of one call: a row that is inserted before the call is dispatched,
 * and deleted or updated with the outcome afterwards. The update is retried in
 * the background up to MaxTries times, also when no reference to the claim is
 * held. Not thread-safe: main loop only. */
class Claim
    : public boost::intrusive_ref_counter<Claim, boost::thread_unsafe_counter> {
public:
  /** What the call is to do: run, send the stored answer, or send another
   * answer without running. */
  using Result = std::variant<ProceedAction, ReplayAction, AnswerAction>;
  using Receiver = std::function<void(Result)>;

  /** Upper bound of the delay between two attempts of a write. */
  static constexpr std::chrono::seconds MaxRetryDelay{5};
  /** Attempts of a write before it is dropped. A row that was not updated reads
   * as a call that is running and, after its deadline, as one with an unknown
   * outcome, which is safe. */
  static constexpr unsigned MaxTries = 60;
  /** Answer bodies larger than this are not stored with the claim. */
  static constexpr std::size_t MaxAnswerBytes = 64UL * 1024;

  /** Inserts a row for \p request under \p key, the row key, unless there is
   * one. \param deadline is stored in the row. \param receiver is called once.
   * \pre \p services outlives the claim. */
  static boost::intrusive_ptr<Claim>
  start(NodeServices &services, std::string key, const CallRequest &request,
        WallTime deadline, Receiver receiver);

  /** Deletes the row, because the call was provably not run, so that it may run
   * when the caller sends it again. \pre The receiver got ProceedAction. */
  void release();
  /** Stores the outcome of the call. \pre The receiver got ProceedAction. */
  void finish(ClaimState state, StoredAnswer answer);

private:
  NodeServices &services;
  std::string key;
  ClaimRecord record;
  ClaimDecision decision;
  Receiver receiver;
  /** The row's entity tag, which conditional writes check. */
  std::string etag;
  Timer retryTimer;
  /** Failed attempts to update or delete the row. */
  unsigned tries = 0;

  Claim(NodeServices &services, std::string key, ClaimRecord record,
        Receiver receiver);

  void perform(ClaimAction action);
  void insert();
  void readRow();
  void deliver(Result result);
  void write(const Transaction &transaction);
  void onWritten(const Transaction &transaction, StoreResult result);
  /** Deletes the row if this call has inserted it without proceeding. */
  void removeOrphanedRow();
};

/** A shared claim. */
using ClaimPtr = boost::intrusive_ptr<Claim>;

} // namespace plantainhatch

#endif
