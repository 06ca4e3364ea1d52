/** \file
 * State machine for the claim of a call that may run at most once. */
#ifndef PLANTAINHATCH_REQUEST_CLAIMDECISION_H
#define PLANTAINHATCH_REQUEST_CLAIMDECISION_H

#include "request/CallDecision.h"
#include "request/ClaimRecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace plantainhatch {

/** Result of an operation on a table of the platform's store. */
enum class StoreResult : std::uint8_t {
  Ok,
  Absent,
  Conflict,
  /** No answer, or one that leaves open whether a write took effect. */
  Unknown
};

/** Insert the claim row if it is absent. */
struct InsertClaimAction {};
/** Read the claim row. */
struct ReadClaimAction {};
/** This call holds the claim: forward it to a target. */
struct ProceedAction {
  /** ETag of the row; empty if the store did not report one. */
  std::string etag;
};
/** Send the caller the answer stored with the claim. */
struct ReplayAction {
  StoredAnswer answer;
};

/** The next step for a claim. */
using ClaimAction = std::variant<InsertClaimAction, ReadClaimAction,
                                 ProceedAction, ReplayAction, AnswerAction>;

/** State machine for one claim. The call may be forwarded to a target only
 * after ProceedAction, which is returned only if the row in the table has this
 * call's claim id. Rows are inserted if absent and never change owner, so at
 * most one call with a given key proceeds until the row is deleted, and a row
 * is deleted only if its call was provably not run. Does no I/O. Not
 * thread-safe. */
class ClaimDecision {
public:
  /** Inserts after which an absent row is treated as an unavailable store. */
  static constexpr unsigned MaxInserts = 3;
  /** Retry-After while the store is unavailable or the claim's call is running.
   */
  static constexpr std::chrono::milliseconds RetryAfter{1'000};

  /** \param claimId unique to this call.
   * \param requestDigest see claimDigest(). */
  ClaimDecision(std::string claimId, std::string requestDigest);

  /** The call has arrived. To be called once, before any other event. */
  ClaimAction start();
  /** The insert has completed; \p etag is the ETag of the new row. */
  ClaimAction onInserted(StoreResult result, const std::string &etag);
  /** The read has completed. \p row is set only with StoreResult::Ok; \p now is
   * compared with the deadline in the row. */
  ClaimAction onRead(StoreResult result, const std::optional<ClaimRecord> &row,
                     const std::string &etag, WallTime now);

  /** True if an insert may have taken effect, or may still do so, although this
   * call does not proceed: the row must be deleted if it has this call's claim
   * id. */
  bool mayHaveOrphanedRow() const { return mayHaveInserted && !hasProceeded; }

private:
  std::string claimId;
  std::string requestDigest;
  unsigned inserts = 0;
  bool mayHaveInserted = false;
  bool hasProceeded = false;

  ClaimAction insert();
  ClaimAction proceed(const std::string &etag);
  ClaimAction onOtherOwner(const ClaimRecord &row, WallTime now) const;
};

} // namespace plantainhatch

#endif
