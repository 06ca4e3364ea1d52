/** \file
 * What to do next with the claim of a call that may run at most once. */
#ifndef PLANTAINHATCH_REQUEST_CLAIMDECISION_H
#define PLANTAINHATCH_REQUEST_CLAIMDECISION_H

#include "request/CallDecision.h"
#include "request/ClaimRecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace plantainhatch {

/** What the platform's table said. */
enum class StoreResult : std::uint8_t {
  Ok,
  Absent,
  Conflict,
  /** No answer, or one that does not tell whether a write has taken effect. */
  Unknown
};

/** Insert the claim row if it is absent. */
struct InsertClaimAction {};
/** Read the claim row. */
struct ReadClaimAction {};
/** The claim is this call's: hand the call over. */
struct ProceedAction {
  /** The row's tag, if the insert's answer told it. */
  std::string etag;
};
/** Send the stored answer to the caller. */
struct ReplayAction {
  StoredAnswer answer;
};

/** The next step for a claim. */
using ClaimAction = std::variant<InsertClaimAction, ReadClaimAction,
                                 ProceedAction, ReplayAction, AnswerAction>;

/** Decides on one claim. The call may be handed over only after ProceedAction,
 * which is returned only when the row in the table carries this call's claim
 * id. As rows are inserted if absent and never taken over, at most one call
 * with a key ever proceeds until the row is deleted, and it is deleted only by
 * a call that was provably not run. Not thread-safe. */
class ClaimDecision {
public:
  static constexpr unsigned MaxInserts = 3;
  static constexpr std::chrono::milliseconds RetryAfter{1'000};

  ClaimDecision(std::string claimId, std::string requestDigest);

  /** The call has arrived. */
  ClaimAction start();
  /** The insert has ended; \p etag is the new row's tag. */
  ClaimAction onInserted(StoreResult result, const std::string &etag);
  /** The read has ended. \p row is set with StoreResult::Ok only. */
  ClaimAction onRead(StoreResult result, const std::optional<ClaimRecord> &row,
                     const std::string &etag, WallTime now);

  /** True if an insert may have taken effect, or may yet, without this call
   * proceeding: the row must be deleted if it carries this call's id. */
  bool mayHaveLeftRow() const { return mayHaveInserted && !hasProceeded; }

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
