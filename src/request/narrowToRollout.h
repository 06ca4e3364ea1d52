/** \file
 * Chooses between the versions of a service during a roll-out. */
#ifndef PLANTAINHATCH_REQUEST_NARROWTOROLLOUT_H
#define PLANTAINHATCH_REQUEST_NARROWTOROLLOUT_H

#include "process/Rollout.h"
#include "request/Candidate.h"

#include <vector>

namespace plantainhatch {

/** Removes the candidates whose version the roll-out allows no call at this
 * moment, and marks those of the ordered version. Uses up a trial if it leaves
 * targets of the ordered version for one. Trials go to few targets, so that
 * each has as many calls as usual. \param isRepeat true if the call was
 * forwarded before; it is no trial then. */
void narrowToRollout(std::vector<Candidate> &candidates, Rollout &rollout,
                     bool isRepeat, TimePoint now);

} // namespace plantainhatch

#endif
