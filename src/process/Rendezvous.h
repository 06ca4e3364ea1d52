/** \file
 * Selects by rendezvous hashing which members perform a task for their failure
 * domain. */
#ifndef PLANTAINHATCH_PROCESS_RENDEZVOUS_H
#define PLANTAINHATCH_PROCESS_RENDEZVOUS_H

#include "process/Membership.h"

#include <string_view>
#include <vector>

namespace plantainhatch {

/** True if this node is among the \p count live members of its failure domain
 * with the highest hash for \p task. While the members' views differ, more or
 * fewer than \p count nodes may consider themselves selected, so the task must
 * tolerate both. Has no side effects. */
bool isSelectedFor(const Membership &membership, std::string_view task,
                   std::size_t count);

/** The peers address of the live member of this node's failure domain with the
 * highest hash for \p task, which may be this node. Views may differ, as for
 * isSelectedFor(). Has no side effects. */
Address findSelected(const Membership &membership, std::string_view task);

/** The peers addresses of \p count other live members with the highest hash for
 * \p task, from as many failure domains as possible; fewer if there are not as
 * many. Views may differ, as for isSelectedFor(). Has no side effects. */
std::vector<Address> findSpread(const Membership &membership,
                                std::string_view task, std::size_t count);

/** The peers addresses of the \p count live members of all failure domains with
 * the highest hash for \p task, the highest first. Views may differ, as for
 * isSelectedFor(). Has no side effects. */
std::vector<Address> findHighest(const Membership &membership,
                                 std::string_view task, std::size_t count);

} // namespace plantainhatch

#endif
