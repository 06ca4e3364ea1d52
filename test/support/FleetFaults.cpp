#include "support/FleetFaults.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <iterator>

namespace plantainhatch::test {

namespace {

template <int Number> void signalPlatform(FaultSite &site) {
  site.fleet.platformProcess->signal(Number);
}

template <int Number> void signalPeer(FaultSite &site) {
  site.fleet.vms[site.peer]->node->signal(Number);
}

template <int Number> void signalActorNodes(FaultSite &site) {
  signalActors(site, Number);
}

template <int Number> void signalActorTargets(FaultSite &site) {
  for (const std::size_t vm : site.actors)
    site.fleet.vms[vm]->targetProcess->signal(Number);
}

void killActorNodes(FaultSite &site) {
  for (const std::size_t vm : site.actors)
    site.fleet.vms[vm]->node->kill();
}

void startActorNodes(FaultSite &site) {
  for (const std::size_t vm : site.actors)
    site.fleet.startNode(vm);
}

void killActorTargets(FaultSite &site) {
  for (const std::size_t vm : site.actors)
    site.fleet.vms[vm]->targetProcess->kill();
}

void startActorTargets(FaultSite &site) {
  for (const std::size_t vm : site.actors)
    site.fleet.startTarget(vm);
}

void setMode(FaultSite &site, const char *mode) {
  site.fleet.setPlatform({{"mode", mode}, {"delayMs", FaultDelay.count()}});
}

void mendNothing(FaultSite & /*site*/) {}

constexpr FleetFault Faults[] = {
    {FaultParty::PlatformStore, "platform down",
     [](FaultSite &site) { setMode(site, "down"); }, mendNothing},
    {FaultParty::PlatformStore, "platform frozen", signalPlatform<SIGSTOP>,
     signalPlatform<SIGCONT>},
    {FaultParty::PlatformStore, "platform answers late",
     [](FaultSite &site) { setMode(site, "slow"); }, mendNothing},
    {FaultParty::PlatformStore, "platform writes late",
     [](FaultSite &site) { setMode(site, "late"); }, mendNothing},
    {FaultParty::PlatformStore, "platform loses answers",
     [](FaultSite &site) { setMode(site, "lose"); }, mendNothing},
    {FaultParty::Client, "client ended",
     [](FaultSite &site) { site.endClient(); }, mendNothing},
    {FaultParty::Peer, "another node killed",
     [](FaultSite &site) { site.fleet.vms[site.peer]->node->kill(); },
     [](FaultSite &site) { site.fleet.startNode(site.peer); }},
    {FaultParty::Peer, "another node frozen", signalPeer<SIGSTOP>,
     signalPeer<SIGCONT>},
    {FaultParty::Actor, "node killed", killActorNodes, startActorNodes},
    {FaultParty::Actor, "node frozen", signalActorNodes<SIGSTOP>,
     signalActorNodes<SIGCONT>},
    {FaultParty::ActorTarget, "target killed", killActorTargets,
     startActorTargets},
    {FaultParty::ActorTarget, "target frozen", signalActorTargets<SIGSTOP>,
     signalActorTargets<SIGCONT>}};

} // namespace

std::vector<FaultList> faultsOf(std::span<const FaultParty> parties) {
  std::vector<FaultList> found;
  for (const FleetFault &fault : Faults)
    if (std::ranges::find(parties, fault.party) != parties.end())
      found.push_back({&fault});
  return found;
}

std::vector<FaultList> faultPairsOf(std::span<const FaultParty> parties,
                                    std::size_t distance) {
  const auto alone = faultsOf(parties);
  std::vector<FaultList> pairs;
  for (std::size_t n = 0; n < alone.size(); ++n) {
    const FleetFault *const first = alone[n].front();
    const FleetFault *const second =
        alone[(n + distance) % alone.size()].front();
    if (first->party != second->party)
      pairs.push_back({first, second});
  }
  return pairs;
}

bool strikes(const FaultList &faults, FaultParty party) {
  return std::ranges::find(faults, party, &FleetFault::party) != faults.end();
}

std::string describe(const FaultList &faults, const std::string &step) {
  std::string text;
  for (const FleetFault *const fault : faults) {
    text += fault->name;
    text += ", ";
  }
  return text + step;
}

void signalActors(FaultSite &site, int number) {
  for (const std::size_t vm : site.actors)
    site.fleet.vms[vm]->node->signal(number);
}

void strikeAll(const FaultList &faults, FaultSite &site) {
  std::ranges::for_each(faults,
                        [&](const FleetFault *fault) { fault->strike(site); });
}

void mendAll(const FaultList &faults, FaultSite &site) {
  std::ranges::for_each(faults,
                        [&](const FleetFault *fault) { fault->mend(site); });
  site.fleet.setPlatform({{"mode", "up"}});
}

} // namespace plantainhatch::test
