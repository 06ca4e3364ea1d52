/** \file
 * Row of the claims table, which records the calls that may run at most once.
 */
#ifndef PLANTAINHATCH_REQUEST_CLAIMRECORD_H
#define PLANTAINHATCH_REQUEST_CLAIMRECORD_H

#include "base/Finding.h"
#include "request/CallRequest.h"

#include <cstdint>
#include <string>

namespace plantainhatch {

/** State of a claimed call. Stored as a number: the order must not change.
 * Unknown means that the call ended without it being known whether it was run.
 */
enum class ClaimState : std::uint8_t { Running, Done, Unknown };

/** An answer stored with a claim, to be replayed if the call is sent again. */
struct StoredAnswer {
  unsigned status = 0;
  HeaderList headers;
  std::string body;
  /** False if the body was too large to be stored. */
  bool isComplete = true;
};

/** One row of the claims table. It is inserted, if absent, before the call is
 * forwarded to a target, and replaced by one with the outcome afterwards. */
struct ClaimRecord {
  /** Set by the claiming node to recognise its own insert if the store's
   * answer is lost. */
  std::string claimId;
  /** See claimDigest(). Distinguishes a call that is sent again from a
   * different call with the same idempotency key. */
  std::string requestDigest;
  /** The address of the claiming node for callers. */
  std::string node;
  ClaimState state = ClaimState::Running;
  /** The call's deadline in milliseconds of the wall clock. It only selects the
   * answer to a repeated call and is displayed; whether a call may run never
   * depends on clocks. */
  std::int64_t deadlineMs = 0;
  StoredAnswer answer;

  /** The value of the row, as JSON. */
  std::string toJson() const;
  /** Parses the value of a row. \return a finding if it is not valid. */
  static Checked<ClaimRecord> fromJson(const std::string &json);
};

/** The key of the row for \p idempotencyKey of \p service. */
std::string claimKey(const std::string &service,
                     const std::string &idempotencyKey);

/** Digest of method, target and body. */
std::string claimDigest(const CallRequest &request);

} // namespace plantainhatch

#endif
