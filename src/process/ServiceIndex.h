/** \file
 * Incrementally updated index of the members that serve each service. */
#ifndef PLANTAINHATCH_PROCESS_SERVICEINDEX_H
#define PLANTAINHATCH_PROCESS_SERVICEINDEX_H

#include "base/Address.h"
#include "process/Member.h"

#include <map>
#include <set>
#include <string>

namespace plantainhatch {

/** Maps a service name to the nodes whose targets serve it. An update takes
 * logarithmic time in the fleet size, so that the failure of many members at
 * once does not slow down calls. Not thread-safe. */
class ServiceIndex {
public:
  /** Replaces the entry of a member; removes it if the member is no
   * candidate. */
  void update(const Member &member);

  /** Peers addresses of the nodes that may receive calls for \p service; empty
   * if there are none. The reference is valid until the next update(). */
  const std::set<Address> &candidatesOf(const std::string &service) const;

private:
  std::map<std::string, std::set<Address>> byService;
  std::map<Address, std::string> serviceOf;

  void remove(const Address &member);
};

} // namespace plantainhatch

#endif
