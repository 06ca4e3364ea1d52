/** \file
 * Which members serve which service, kept up to date change by change. */
#ifndef PLANTAINHATCH_PROCESS_SERVICEINDEX_H
#define PLANTAINHATCH_PROCESS_SERVICEINDEX_H

#include "base/Address.h"
#include "process/Member.h"

#include <map>
#include <set>
#include <string>

namespace plantainhatch {

/** An index from a service's name to the nodes beside its targets. An update
 * costs the logarithm of the fleet, so that the failure of many members does
 * not slow calls. Not thread-safe. */
class ServiceIndex {
public:
  /** Takes in the newest record of a member. */
  void update(const Member &member);

  /** Peers addresses of the candidates of \p service; empty if there are none.
   */
  const std::set<Address> &candidatesOf(const std::string &service) const;

private:
  std::map<std::string, std::set<Address>> byService;
  std::map<Address, std::string> serviceOf;

  void remove(const Address &member);
};

} // namespace plantainhatch

#endif
