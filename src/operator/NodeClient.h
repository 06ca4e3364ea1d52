/** \file
 * Asks nodes for their status and events. */
#ifndef PLANTAINHATCH_OPERATOR_NODECLIENT_H
#define PLANTAINHATCH_OPERATOR_NODECLIENT_H

#include "base/Address.h"
#include "connection/SoupSession.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainhatch {

/** A node as another node describes it. */
struct NodeListing {
  Address callers;
  Address peers;
  std::string failureDomain;
  std::string liveness;
  std::uint64_t generation = 0;
  std::uint64_t incarnation = 0;

  bool isPresent() const {
    return liveness == "alive" || liveness == "suspect";
  }
};

/** Fetches JSON from many nodes at once. Blocks the caller while it runs the
 * main loop. */
class NodeClient {
public:
  /** A node that has not answered by then counts as not reachable. */
  static constexpr std::chrono::milliseconds Timeout{2'000};
  /** Requests under way at the same time. */
  static constexpr std::size_t MaxParallel = 64;

  NodeClient();

  /** Answers by node; nothing for those that did not answer. */
  std::map<Address, std::optional<nlohmann::json>>
  fetch(const std::vector<Address> &nodes, const std::string &path);

  /** Every node that one of \p entry knows, each with its newest record, as a
   * node that has just started may know few; empty if none of them answers. */
  std::vector<NodeListing> listNodes(const std::vector<Address> &entry);

private:
  GObjectPtr<SoupSession> session;
};

} // namespace plantainhatch

#endif
