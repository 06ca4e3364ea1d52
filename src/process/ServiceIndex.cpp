#include "process/ServiceIndex.h"

namespace plantainhatch {

void ServiceIndex::update(const Member &member) {
  remove(member.peersAddress);
  if (!member.isCandidate())
    return;
  byService[member.target.service].insert(member.peersAddress);
  serviceOf[member.peersAddress] = member.target.service;
}

const std::set<Address> &
ServiceIndex::candidatesOf(const std::string &service) const {
  static const std::set<Address> None;
  const auto it = byService.find(service);
  return it == byService.end() ? None : it->second;
}

void ServiceIndex::remove(const Address &member) {
  const auto it = serviceOf.find(member);
  if (it == serviceOf.end())
    return;
  const auto entry = byService.find(it->second);
  entry->second.erase(member);
  if (entry->second.empty())
    byService.erase(entry);
  serviceOf.erase(it);
}

} // namespace plantainhatch
