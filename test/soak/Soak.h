/** \file
 * Real nodes under load while a plan of faults strikes them. */
#ifndef PLANTAINHATCH_TEST_SOAK_SOAK_H
#define PLANTAINHATCH_TEST_SOAK_SOAK_H

#include "platform/SiteFixture.h"
#include "soak/PromiseLedger.h"
#include "soak/SoakPlan.h"

#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace plantainhatch::test {

/** What is run. */
struct SoakOptions {
  std::uint64_t seed = 1;
  std::size_t machines = 4;
  /** Machines are spread over this many failure domains. */
  std::size_t domains = 2;
  std::chrono::seconds length{15};
  /** Calls a second over all machines. */
  double rate = 80;
};

/** What came of it. */
struct SoakReport {
  std::size_t calls = 0;
  std::size_t served = 0;
  std::size_t faults = 0;
  /** The promises that were broken; empty if all held. */
  std::vector<std::string> broken;
};

/** Runs nodes, a store, targets and callers once. Faults come from outside the
 * processes: signals, links that are disturbed, and targets and a store that
 * misbehave. Used on the main loop only. */
class Soak {
public:
  explicit Soak(const SoakOptions &options);

  /** Runs the plan, lets the fleet recover, and judges. */
  SoakReport run();

private:
  /** A call without an end yet. */
  struct OpenCall {
    std::string id;
    SiteFixture::PendingCall pending;
    TimePoint sentAt;
    /** When its caller loses patience. */
    std::optional<TimePoint> givenUpAt;
    /** Set if only this version has the call's route. */
    unsigned version = 0;
    std::string nodeStart;
  };
  struct MachineState {
    unsigned nodeStarts = 1;
    TimePoint nodeStartedAt;
    unsigned targetStarts = 0;
    bool isLeaving = false;
    bool hasLeft = false;
  };

  SoakOptions options;
  SiteFixture site;
  std::mt19937_64 random;
  /** Apart from the other one, so that a seed keeps its calls. */
  std::mt19937_64 lateBeatRandom;
  PromiseLedger ledger;
  std::vector<MachineState> states;
  std::list<OpenCall> openCalls;
  std::set<std::string> domainsOut;
  /** Failure domains whose rows have been written since the copy. */
  std::set<std::string> domainsSinceCopy;
  unsigned version = 1;
  std::uint64_t sequence = 0;
  /** Heartbeats without an answer yet. */
  unsigned beatsUnderWay = 0;
  std::list<std::unique_ptr<Timer>> scheduled;
  Timer callTimer;
  Timer probeTimer;
  Timer beatTimer;
  Timer collectTimer;

  void schedule(Duration delay, std::function<void()> action);

  void startLoad();
  void sendNext();
  void sendCall(std::size_t machine, const std::string &method,
                const std::string &path, unsigned ownVersion);
  void probeVersions();
  void collect();
  void beatAll();
  void beat(std::size_t machine);
  /** Sends a heartbeat once more, after a while in which its target may have
   * left or been replaced, and its node may have started anew. */
  void beatLate(std::size_t machine, const std::string &name,
                const std::string &body);

  void strike(const FaultStep &step);
  void strikeNode(const FaultStep &step);
  void strikeStore(const FaultStep &step);
  void strikeStoreLink(const FaultStep &step);
  void strikeTargetLink(const FaultStep &step);
  void holdLink(FaultyLink &link, FaultyLink::Mode mode, Duration length);
  void strikeTarget(const FaultStep &step);
  void strikePlanned(const FaultStep &step);
  /** Takes a copy now and goes back to it after \p length. */
  void setBackStore(Duration length);
  /** Writes the state of all rows of the operator that the store may have lost.
   */
  void writeAgain();
  /** Writes the row of a failure domain as it is to be. */
  void writeDomain(const std::string &domain);

  void stopNode(const FaultStep &step);
  void startNodeIfEnded(std::size_t machine);
  void replaceTarget(std::size_t machine, Duration length);
  void startTarget(std::size_t machine);
  void takeDomainBack(const std::string &domain);
  std::string nodeStart(std::size_t machine) const;

  void heal();
  /** Waits for recovery. \return what did not recover. */
  std::vector<std::string> recover();
  /** \return the status, 1 if the call was cut. */
  unsigned serves(std::size_t machine, const std::string &path);
};

} // namespace plantainhatch::test

#endif
