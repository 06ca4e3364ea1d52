/** \file
 * Whether the ordered version can take over the calls of its service. */
#ifndef PLANTAINHATCH_REQUEST_MEASUREROLLOUTROOM_H
#define PLANTAINHATCH_REQUEST_MEASUREROLLOUTROOM_H

#include "process/LoadTable.h"
#include "process/Membership.h"
#include "version/Rule.h"

namespace plantainhatch {

/** What the targets of a service bear, and what they have to. */
struct RolloutRoom {
  /** Concurrent calls that targets of the ordered version bear now. */
  unsigned slots = 0;
  /** Calls in flight or queued at all targets of the service. */
  double calls = 0;

  bool isEnough() const { return slots > 0 && slots >= calls; }
};

/** Estimates the room by the load reports of the last LoadTable::MaxReportAge.
 * Former targets without one count as the others of them do on average. */
RolloutRoom measureRolloutRoom(const RolloutRule &rule,
                               const Membership &membership,
                               const LoadTable &loads, TimePoint now);

} // namespace plantainhatch

#endif
