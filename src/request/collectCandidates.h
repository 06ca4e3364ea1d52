/** \file
 * A pass over the fleet that finds the targets a call may be forwarded to. */
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

/** What a node knows at the moment of a pick. */
struct FleetView {
  const Membership &membership;
  const ServiceIndex &index;
  const Configuration &configuration;
  const LoadTable &loads;
};

/** Every target of \p service that is present, serving, not taken out by a
 * rule, and not in \p tried. Pure. */
std::vector<Candidate> collectCandidates(const FleetView &view,
                                         const std::string &service,
                                         const std::set<Address> &tried,
                                         TimePoint now);

} // namespace plantainhatch

#endif
