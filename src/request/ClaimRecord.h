/** \file
 * The row that records a call which may run at most once. */
#ifndef PLANTAINHATCH_REQUEST_CLAIMRECORD_H
#define PLANTAINHATCH_REQUEST_CLAIMRECORD_H

#include "base/Finding.h"
#include "request/CallRequest.h"

#include <cstdint>
#include <string>

namespace plantainhatch {

/** How far a claimed call has come. */
enum class ClaimState : std::uint8_t { Running, Done, Unknown };

/** The answer kept with a claim. */
struct StoredAnswer {
  unsigned status = 0;
  HeaderList headers;
  std::string body;
  /** False if the body was too large to keep. */
  bool isComplete = true;
};

/** One row of the claims table. It is inserted, if absent, before the call is
 * handed over, and replaced by the outcome after it. */
struct ClaimRecord {
  /** Chosen by the claiming node, to recognise its own insert when the answer
   * is lost. */
  std::string claimId;
  /** Digest of what was asked, to tell a re-send from another call with the
   * same key. */
  std::string requestDigest;
  /** The claiming node. */
  std::string node;
  ClaimState state = ClaimState::Running;
  /** When the call's deadline passes, in milliseconds of the wall clock; for
   * display and Retry-After only, as nothing safe rests on clocks. */
  std::int64_t deadlineMs = 0;
  StoredAnswer answer;

  /** The row's value. */
  std::string toJson() const;
  /** Reads a row's value. */
  static Checked<ClaimRecord> fromJson(const std::string &json);
};

/** The row's key for an idempotency key of a service. */
std::string claimKey(const std::string &service,
                     const std::string &idempotencyKey);

/** The digest of what a call asks for. */
std::string claimDigest(const CallRequest &request);

} // namespace plantainhatch

#endif
