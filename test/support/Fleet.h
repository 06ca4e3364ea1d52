/** \file
 * Starts nodes and stand-ins as processes for tests, demonstrations and
 * measurements. */
#ifndef PLANTAINHATCH_TEST_SUPPORT_FLEET_H
#define PLANTAINHATCH_TEST_SUPPORT_FLEET_H

#include "base/Address.h"
#include "support/ChildProcess.h"
#include "support/HttpClient.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plantainhatch::test {

/** One VM of a fleet: a node and, perhaps, a target beside it. */
struct VmPlan {
  std::string failureDomain;
  /** Empty for a node without a target. */
  std::string service;
  unsigned slots = 12;
  unsigned coldSlots = 4;
  unsigned connections = 220;
  /** More options of the target's stand-in. */
  std::vector<std::string> targetOptions;
  /** Path that each run calls at its own node before it answers. */
  std::string calls;
};

/** What a whole fleet is made of. */
struct FleetPlan {
  std::string cluster = "test";
  std::string rules;
  std::vector<VmPlan> vms;
  /** More options of the node's program. */
  std::vector<std::string> nodeOptions;
};

/** One running VM. */
struct Vm {
  VmPlan plan;
  Address callers;
  Address peers;
  Address targets;
  Address target;
  std::string settingsFile;
  std::unique_ptr<ChildProcess> node;
  std::unique_ptr<ChildProcess> targetProcess;
};

/** What a command printed. */
struct CommandOutput {
  int code = -1;
  std::string out;
  std::string err;
};

/** Owns a platform's stand-in, nodes, targets and their files. Everything is on
 * loopback; its destructor ends the processes that it started, and no others.
 */
class Fleet {
public:
  explicit Fleet(FleetPlan plan);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;
  Fleet(Fleet &&) = delete;
  Fleet &operator=(Fleet &&) = delete;

  /** Starts all, applies the rules, and waits until each node knows all others
   * and all targets serve. \return false if that takes too long. */
  bool start();

  void startPlatform();
  void startNode(std::size_t vm);
  void startTarget(std::size_t vm);

  /** Runs the operators' program. */
  CommandOutput command(const std::vector<std::string> &words);
  /** Writes a file into the fleet's folder. \return its name. */
  std::string write(const std::string &name, const std::string &content);
  const std::string &operatorSettingsFile() const { return operatorSettings; }
  /** Sets the fault of the platform's stand-in. */
  void setPlatform(const nlohmann::json &order);
  /** Changes a target's behaviour. */
  void setTarget(std::size_t vm, const nlohmann::json &order);
  /** A node's status; null if it does not answer. */
  nlohmann::json status(std::size_t vm);
  /** What a target has counted; null if it does not answer. */
  nlohmann::json targetStats(std::size_t vm);
  /** One counter of a node's metrics, summed over its labels that contain \p
   * label. */
  double metric(std::size_t vm, const std::string &name,
                const std::string &label = {});

  /** Polls until \p condition holds. \return false after \p limit. */
  static bool
  waitUntil(const std::function<bool()> &condition,
            std::chrono::milliseconds limit = std::chrono::seconds(20));

  /** What proves the messages between the nodes. */
  static std::string key() { return "a key that only this test knows\n"; }

  std::vector<Address> callers() const;
  /** Where targets note the idempotency key of each run before it starts. */
  std::string journalFile() const { return folder + "/journal"; }
  /** A VM with a target of this service, by its place among them. */
  std::size_t vmOf(const std::string &service, std::size_t place = 0) const;
  std::vector<std::unique_ptr<Vm>> vms;
  Address platform;
  std::unique_ptr<ChildProcess> platformProcess;
  HttpClient http;

  /** True if each node knows all others and all targets serve. */
  bool isComplete();

private:
  FleetPlan plan;
  std::string folder;
  std::string operatorSettings;

  void writeSettings(Vm &vm);
};

/** A loopback port that was free a moment ago. */
Address freeAddress();

} // namespace plantainhatch::test

#endif
