#include "request/collectCandidates.h"

namespace plantainhatch {

namespace {

/** True if a rule takes out the failure domain or VM of \p member. */
bool isTakenOut(const Configuration &configuration, const Member &member) {
  return configuration.findDomainOut(member.failureDomain) != nullptr ||
         configuration.findVmOut(member.callersAddress) != nullptr ||
         configuration.findVmOut(member.peersAddress) != nullptr ||
         configuration.findVmOut(member.target.address) != nullptr;
}

Candidate toCandidate(const FleetView &view, const Member &member,
                      TimePoint now) {
  const Member &self = view.membership.self();
  Candidate candidate;
  candidate.peersAddress = member.peersAddress;
  candidate.callersAddress = member.callersAddress;
  candidate.isLocalNode = member.peersAddress == self.peersAddress;
  candidate.isLocalDomain = member.failureDomain == self.failureDomain;
  candidate.isSuspect = member.liveness == Liveness::Suspect;
  candidate.callsOtherServices = member.target.callsOtherServices;
  candidate.softwareVersion = member.target.softwareVersion;
  // Without a load report, assume the limit that the target has while cold, so
  // that it does not get more calls than it can run then.
  candidate.load =
      view.loads.estimate(member.peersAddress, member.target.coldSlots, now);
  return candidate;
}

} // namespace

std::vector<Candidate> collectCandidates(const FleetView &view,
                                         const std::string &service,
                                         const std::set<Address> &tried,
                                         TimePoint now) {
  std::vector<Candidate> candidates;
  for (const Address &address : view.index.candidatesOf(service)) {
    const Member *const member = view.membership.find(address);
    if (member == nullptr || tried.contains(address) ||
        isTakenOut(view.configuration, *member))
      continue;
    candidates.push_back(toCandidate(view, *member, now));
  }
  return candidates;
}

} // namespace plantainhatch
