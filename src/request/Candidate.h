/** \file
 * One target that a call may be forwarded to. */
#ifndef PLANTAINHATCH_REQUEST_CANDIDATE_H
#define PLANTAINHATCH_REQUEST_CANDIDATE_H

#include "base/Address.h"
#include "process/Gate.h"
#include "process/LoadTable.h"

namespace plantainhatch {

/** A target, and what this node knows of it at the time of a pick. */
struct Candidate {
  /** The peers address of the target's node, which identifies the node. */
  Address peersAddress;
  /** The address where that node accepts forwarded calls. */
  Address callersAddress;
  /** True if the target is that of this node. */
  bool isLocalNode = false;
  /** True if the target is in this node's failure domain. */
  bool isLocalDomain = false;
  /** True if the target's node is suspected to have failed. */
  bool isSuspect = false;
  /** True if the target has called other services while it ran calls. */
  bool callsOtherServices = false;
  /** The version of the target's software. */
  std::string softwareVersion;
  /** True if a roll-out moves the service to this version. */
  bool isOrdered = false;
  LoadEstimate load;

  /** A load report that shows a full queue is valid for this long. */
  static constexpr std::chrono::milliseconds MaxSaturationAge{50};

  /** True if a recent load report of the target's gate shows no free slot and
   * no free place in its queue. */
  bool isSaturated() const {
    return load.age < MaxSaturationAge && load.limit > 0 &&
           load.inFlight >=
               load.limit * static_cast<double>(1 + Gate::QueuePerSlot);
  }

  /** Calls in flight as a fraction of the limit; above 1 if calls are queued, 1
   * if the target has no limit. */
  double utilization() const {
    return load.limit > 0 ? load.inFlight / load.limit : 1.0;
  }
};

} // namespace plantainhatch

#endif
