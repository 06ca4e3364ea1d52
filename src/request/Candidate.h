/** \file
 * One target that a call may be forwarded to. */
#ifndef PLANTAINHATCH_REQUEST_CANDIDATE_H
#define PLANTAINHATCH_REQUEST_CANDIDATE_H

#include "base/Address.h"
#include "process/Gate.h"
#include "process/LoadTable.h"

namespace plantainhatch {

/** A candidate at the moment of a pick. */
struct Candidate {
  /** The node beside the target. */
  Address peersAddress;
  /** Where that node takes forwarded calls. */
  Address callersAddress;
  bool isLocalNode = false;
  bool isLocalDomain = false;
  bool isSuspect = false;
  /** True if the target calls other services to answer. */
  bool callsOtherServices = false;
  LoadEstimate load;

  /** What is known of a full queue holds for this long. */
  static constexpr std::chrono::milliseconds MaxSaturationAge{50};

  /** True if its gate was heard a moment ago and had no place left, neither in
   * its slots nor in its queue. */
  bool isSaturated() const {
    return load.age < MaxSaturationAge && load.limit > 0 &&
           load.inFlight >=
               load.limit * static_cast<double>(1 + Gate::QueuePerSlot);
  }

  /** The share of its limit that is in use; 1 if it has no limit. */
  double utilization() const {
    return load.limit > 0 ? load.inFlight / load.limit : 1.0;
  }
};

} // namespace plantainhatch

#endif
