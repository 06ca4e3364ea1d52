/** \file
 * The faults of one process of a fleet, as a table for matrices of faults. */
#ifndef PLANTAINHATCH_TEST_SUPPORT_FLEETFAULTS_H
#define PLANTAINHATCH_TEST_SUPPORT_FLEETFAULTS_H

#include "support/Fleet.h"

#include <chrono>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace plantainhatch::test {

/** Whom a fault strikes. */
enum class FaultParty { PlatformStore, Client, Peer, Actor, ActorTarget };

/** Where faults strike. */
struct FaultSite {
  Fleet &fleet;
  /** The VMs whose nodes or targets are at work. */
  std::vector<std::size_t> actors;
  /** Another VM. */
  std::size_t peer = 0;
  /** Ends the command or the caller that is at work, if any. */
  std::function<void()> endClient;
};

/** One fault. */
struct FleetFault {
  FaultParty party;
  const char *name;
  void (*strike)(FaultSite &);
  void (*mend)(FaultSite &);
};

/** One fault, or several at once. */
using FaultList = std::vector<const FleetFault *>;

/** Answers and writes come this much later, which is longer than a node waits.
 */
inline constexpr std::chrono::milliseconds FaultDelay{1'800};

/** All faults of the \p parties, one by one. */
std::vector<FaultList> faultsOf(std::span<const FaultParty> parties);

/** Each fault of the \p parties with the one \p distance further on, if another
 * party has that. */
std::vector<FaultList> faultPairsOf(std::span<const FaultParty> parties,
                                    std::size_t distance);

/** Whether one of \p faults strikes \p party. */
bool strikes(const FaultList &faults, FaultParty party);

/** A row's name in findings. */
std::string describe(const FaultList &faults, const std::string &step);

/** Sends a signal to the nodes of the actors. */
void signalActors(FaultSite &site, int number);

void strikeAll(const FaultList &faults, FaultSite &site);
/** Mends all, and sets the platform right whatever befell it. */
void mendAll(const FaultList &faults, FaultSite &site);

} // namespace plantainhatch::test

#endif
