/** \file
 * Collects the targets that a call may be forwarded to. */
#ifndef PLANTAINHATCH_REQUEST_COLLECTCANDIDATES_H
#define PLANTAINHATCH_REQUEST_COLLECTCANDIDATES_H

#include "process/LoadTable.h"
#include "process/Membership.h"
#include "process/ServiceIndex.h"
#include "request/Candidate.h"
#include "version/Configuration.h"

#include <set>
#include <string>
#include <vector>

namespace plantainhatch {

/** References to what a node knows about the fleet; valid for one pick. */
struct FleetView {
  const Membership &membership;
  const ServiceIndex &index;
  const Configuration &configuration;
  const LoadTable &loads;
};

/** The targets of \p service that a call may be forwarded to: those that are
 * present and serving, except targets taken out by a rule and those whose
 * nodes' peers addresses are in \p tried. Pure. */
std::vector<Candidate> collectCandidates(const FleetView &view,
                                         const std::string &service,
                                         const std::set<Address> &tried,
                                         TimePoint now);

} // namespace plantainhatch

#endif
