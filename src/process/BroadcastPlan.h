/** \file
 * Receivers of a message that all nodes of the fleet should get. */
#ifndef PLANTAINHATCH_PROCESS_BROADCASTPLAN_H
#define PLANTAINHATCH_PROCESS_BROADCASTPLAN_H

#include "process/Membership.h"

#include <random>
#include <vector>

namespace plantainhatch {

/** A broadcast in two levels. Traffic between failure domains is narrow and
 * billed, so that a message crosses to each of them once, to a relay that sends
 * it to the others there. */
struct BroadcastPlan {
  /** The other members of the sender's failure domain. */
  std::vector<Address> local;
  /** One member of each other failure domain. */
  std::vector<Address> relays;

  /** The plan for one message of the node that \p membership belongs to. Relays
   * are drawn for each message, so that one that has just died, and is not
   * known to be dead, loses few of them. Members that are suspect are sent
   * messages, and are relays only where no other member is alive. */
  static BroadcastPlan make(const Membership &membership,
                            std::mt19937_64 &random);
};

} // namespace plantainhatch

#endif
