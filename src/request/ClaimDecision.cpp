#include "request/ClaimDecision.h"

#include "request/HttpStatus.h"

#include <algorithm>

namespace plantainhatch {

namespace {

/** The table does not answer. Whether an earlier sending with this key has run
 * cannot be told, so even though this one was not run, the answer must not say
 * so of the key. */
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
  // A conflict proves that this insert did nothing; an earlier one may have.
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
