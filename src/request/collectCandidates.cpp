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

Candidate toChoice(const FleetView &view, const Member &member, TimePoint now) {
  const Member &self = view.membership.self();
  Candidate choice;
  choice.peersAddress = member.peersAddress;
  choice.callersAddress = member.callersAddress;
  choice.isLocalNode = member.peersAddress == self.peersAddress;
  choice.isLocalDomain = member.failureDomain == self.failureDomain;
  choice.isSuspect = member.liveness == Liveness::Suspect;
  choice.callsOtherServices = member.target.callsOtherServices;
  // Without a load report, assume the limit that the target has while cold.
  choice.load =
      view.loads.estimate(member.peersAddress, member.target.coldSlots, now);
  return choice;
}

} // namespace

std::vector<Candidate> collectCandidates(const FleetView &view,
                                         const std::string &service,
                                         const std::set<Address> &tried,
                                         TimePoint now) {
  std::vector<Candidate> choices;
  for (const Address &address : view.index.candidatesOf(service)) {
    const Member *const member = view.membership.find(address);
    if (member == nullptr || tried.contains(address) ||
        isTakenOut(view.configuration, *member))
      continue;
    choices.push_back(toChoice(view, *member, now));
  }
  return choices;
}

} // namespace plantainhatch
