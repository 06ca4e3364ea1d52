/** \file
 * Chooses which members do a chore for their failure domain. */
#ifndef PLANTAINHATCH_PROCESS_RENDEZVOUS_H
#define PLANTAINHATCH_PROCESS_RENDEZVOUS_H

#include "process/Membership.h"

#include <string_view>

namespace plantainhatch {

/** True if this node is among the \p count members of its failure domain with
 * the highest hash for \p chore. Views may differ for a while, so a chore may
 * be done twice or, until the views agree, by too few; it must be harmless
 * either way. Pure. */
bool isSelectedFor(const Membership &membership, std::string_view chore,
                   std::size_t count);

} // namespace plantainhatch

#endif
