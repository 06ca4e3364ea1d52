/** \file
 * Asks other nodes for single rules of a newer version. */
#ifndef PLANTAINHATCH_NODE_RULELOOKUP_H
#define PLANTAINHATCH_NODE_RULELOOKUP_H

#include "connection/Timer.h"
#include "node/PeerTask.h"
#include "version/Rule.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace plantainhatch {

/** Finds the rule for a call at a node that has a newer version, while that
 * version is on its way to this node. One round trip between nodes, and one
 * more for each node that does not answer in time. Use on the main loop
 * only. */
class RuleLookup {
public:
  /** Longest wait for one node. */
  static constexpr std::chrono::milliseconds TimeLimit{60};
  /** Nodes that are asked for one call, one after the other. */
  static constexpr std::size_t MaxAttempts = 3;
  /** Host and path together, in bytes. A longer pair is not asked for, as it
   * would not fit into a datagram. */
  static constexpr std::size_t MaxQueryBytes = 2'048;
  /** Calls that may wait for a rule at once. */
  static constexpr std::size_t MaxOpen = 1'024;

  /** The rule for a call by a newer version. */
  struct Result {
    std::uint64_t version = 0;
    ServiceRule rule;
    /** The team that holds the key there; nothing if none does, or the rule
     * needs no key. */
    std::optional<TeamRule> team;
    /** A moment at which the version was the newest; nothing if the other node
     * knows of none. */
    std::optional<TimePoint> provedAt;
  };
  /** Called once, with nothing if no node has answered with a rule. */
  using Done = std::function<void(std::optional<Result>)>;

  /** What to look for. */
  struct Query {
    std::string host;
    std::string path;
    /** The digest of the caller's key; empty if there is none. */
    std::string keyDigest;
    /** Answers by older versions are ignored. */
    std::uint64_t leastVersion = 0;
  };

  /** The arguments must outlive this object. */
  RuleLookup(NodeServices &services, PeerTask &peers)
      : services(services), peers(peers) {}

  /** Asks the nodes at \p holders in turn. \p done may be called before this
   * returns. */
  void find(const Query &query, std::vector<Address> holders, Done done);

  /** Handles an answer. */
  void onAnswer(const Address &sender, const RuleAnswer &answer);

private:
  struct Open {
    Query query;
    /** Not asked yet, the next one last. */
    std::vector<Address> holders;
    Address asked;
    TimePoint askedAt;
    Done done;
    std::unique_ptr<Timer> timer;
  };

  NodeServices &services;
  PeerTask &peers;
  /** By nonce. */
  std::map<std::uint64_t, Open> open;

  void ask(Open lookup);
  void finish(std::map<std::uint64_t, Open>::iterator it,
              std::optional<Result> result);
};

} // namespace plantainhatch

#endif
