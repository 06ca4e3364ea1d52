/** \file
 * The settings of the two programs, read from JSON and checked as a whole. */
#ifndef PLANTAINHATCH_BASE_SETTINGS_H
#define PLANTAINHATCH_BASE_SETTINGS_H

#include "base/Address.h"
#include "base/Finding.h"

#include <cassert>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace plantainhatch {

/** What a version of a service that may be bad is allowed to do. */
struct RolloutSettings {
  static constexpr std::chrono::milliseconds MinRollback{2'000};
  static constexpr std::chrono::milliseconds MaxRollback{3'600'000};

  /** The most that it may get of the calls from the order to the deadline. */
  double exposureShare = 0;
  /** From its 50th bad answer until it gets no calls any more. */
  std::chrono::milliseconds rollback{0};

  bool operator==(const RolloutSettings &) const = default;
};

/** How a node fits into a site whose platform has its own interface for
 * callers, targets and operators. Immutable once read. */
struct SiteSettings {
  /** A shorter time to stop is taken for a mistake: calls in progress could not
   * end, and each stop would cut them. */
  static constexpr std::chrono::milliseconds MinStopGrace{500};
  /** So is a longer one. */
  static constexpr std::chrono::milliseconds MaxStopGrace{3'600'000};

  /** Calls that other nodes forward. */
  Address forwards;
  /** Whether new callers are welcome. */
  Address readiness;
  /** Metrics as text. */
  Address metrics;
  /** The target beside this node. */
  Address target;
  /** The service of that target. */
  std::string service;
  /** From the order to stop until the platform ends the process. */
  std::chrono::milliseconds stopGrace{0};
  /** In any second a cold target may get its announced rate times this, and the
   * slack besides. */
  double coldOverage = 1;
  double coldSlack = 0;
  /** Repeats that all nodes together may send, as a share of a service's calls,
   * and besides that in the operators' window of some seconds. */
  double retryRatio = 0;
  double retryExtra = 0;
  /** Health checks of one target a second, by all nodes together. */
  double probesPerSecond = 0;
  /** Not set at a site without roll-outs. */
  std::optional<RolloutSettings> rollout;
};

/** By how much the calls of a team may pass its quota in some seconds, summed
 * over all nodes. Immutable once read. */
struct QuotaSettings {
  /** A share of what the quota allows. */
  double overage = 0;
  /** Calls besides that. */
  double slack = 0;

  bool operator==(const QuotaSettings &) const = default;
};

/** What one node is told. Immutable once read. */
struct NodeSettings {
  std::string cluster;
  std::string failureDomain;
  /** HTTP for callers, for forwarded calls of other nodes, and for status. */
  Address callers;
  /** UDP and TCP between nodes. */
  Address peers;
  /** HTTP for announcements of this VM's target. */
  Address targets;
  /** Base URL of the platform's table service and object store. */
  std::string platform;
  /** Peers addresses to try besides the seed rows in the table. */
  std::vector<Address> seeds;
  /** Content of the key file, or the key itself. */
  std::string key;
  /** A key that was taken from its team is not used later than this after the
   * store has acknowledged that, whether or not the node is in touch; nothing
   * if that is not bounded. */
  std::optional<std::chrono::milliseconds> keyRevocation;
  QuotaSettings quota;
  /** Set where a platform with an interface of its own drives the node. */
  std::optional<SiteSettings> site;

  /** A shorter bound would refuse most calls, as each proof takes a question to
   * the store. */
  static constexpr std::chrono::milliseconds MinKeyRevocation{1'000};
  static constexpr std::chrono::milliseconds MaxKeyRevocation{3'600'000};

  /** \pre The node is at a site. */
  const SiteSettings &requireSite() const {
    assert(site.has_value() && "only nodes at a site have its settings");
    return *site;
  }

  /** Where other nodes reach this one with calls. */
  const Address &forwardAddress() const {
    return site ? site->forwards : callers;
  }
};

/** What the operators' program is told. Immutable once read. */
struct OperatorSettings {
  std::string cluster;
  std::string platform;
  /** Callers addresses of the nodes to ask first. */
  std::vector<Address> nodes;
  /** Content of the key file. */
  std::string key;
};

/** Reads and checks a node's settings.
 * \return the settings, or every fault with its field. */
Checked<NodeSettings> readNodeSettings(const std::string &fileName);

/** The same for content that was read from \p fileName before. */
Checked<NodeSettings> parseNodeSettings(const std::string &fileName,
                                        const std::string &content);

/** Reads and checks the operators' settings.
 * \return the settings, or every fault with its field. */
Checked<OperatorSettings> readOperatorSettings(const std::string &fileName);

/** Reads a whole file.
 * \return its content, or a finding that names the file and the reason. */
Checked<std::string> readFile(const std::string &fileName);

} // namespace plantainhatch

#endif
