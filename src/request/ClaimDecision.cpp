#include "request/ClaimDecision.h"

#include "request/HttpStatus.h"

#include <algorithm>

namespace plantainhatch {

namespace {

/** Answer if the store is unavailable. This call was not run, but an earlier
 * call with the same key may have been, so the outcome is reported as unknown.
 */
AnswerAction storeUnavailable() {
  return {httpStatus::ServiceUnavailable, Outcome::Unknown, "store-unavailable",
          ClaimDecision::RetryAfter};
}

} // namespace

ClaimDecision::ClaimDecision(std::string claimId, std::string requestDigest)
    : claimId(std::move(claimId)), requestDigest(std::move(requestDigest)) {}

ClaimAction ClaimDecision::start() { return insert(); }

ClaimAction ClaimDecision::onInserted(StoreResult result,
                                      const std::string &etag) {
  if (result == StoreResult::Ok)
    return proceed(etag);
  // A conflict proves that this insert had no effect. Whether an earlier insert
  // of this call may have had one is recorded in mayHaveInserted already.
  if (result != StoreResult::Conflict)
    mayHaveInserted = true;
  return ReadClaimAction{};
}

ClaimAction ClaimDecision::onRead(StoreResult result,
                                  const std::optional<ClaimRecord> &row,
                                  const std::string &etag, WallTime now) {
  if (result == StoreResult::Absent)
    return inserts < MaxInserts ? insert() : ClaimAction(storeUnavailable());
  if (result != StoreResult::Ok || !row)
    return storeUnavailable();
  if (row->claimId == claimId)
    return proceed(etag);
  return onOtherOwner(*row, now);
}

ClaimAction ClaimDecision::insert() {
  ++inserts;
  return InsertClaimAction{};
}

ClaimAction ClaimDecision::proceed(const std::string &etag) {
  hasProceeded = true;
  return ProceedAction{etag};
}

ClaimAction ClaimDecision::onOtherOwner(const ClaimRecord &row,
                                        WallTime now) const {
  if (row.requestDigest != requestDigest)
    return AnswerAction{httpStatus::UnprocessableContent, Outcome::NotRun,
                        "key-of-another-request", std::nullopt};
  if (row.state == ClaimState::Done && row.answer.isComplete)
    return ReplayAction{row.answer};
  if (row.state == ClaimState::Done)
    return AnswerAction{httpStatus::Conflict, Outcome::Unknown,
                        "done-answer-not-kept", std::nullopt};
  if (row.state == ClaimState::Unknown)
    return AnswerAction{httpStatus::BadGateway, Outcome::Unknown,
                        "earlier-sending-unknown", std::nullopt};
  const auto left = WallTime(std::chrono::milliseconds(row.deadlineMs)) - now;
  if (left <= std::chrono::milliseconds(0))
    return AnswerAction{httpStatus::BadGateway, Outcome::Unknown,
                        "earlier-sending-unknown", std::nullopt};
  return AnswerAction{httpStatus::Conflict, Outcome::Unknown, "running",
                      RetryAfter};
}

} // namespace plantainhatch
