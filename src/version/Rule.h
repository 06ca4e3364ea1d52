/** \file
 * The types of the rules of a configuration. */
#ifndef PLANTAINHATCH_VERSION_RULE_H
#define PLANTAINHATCH_VERSION_RULE_H

#include "base/Address.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace plantainhatch {

/** Where a rule comes from; every rule has one. */
struct RuleOrigin {
  /** The line in the rules file, counted from 1. */
  std::size_t line = 0;
  /** The person who requested the rule, from its comment. */
  std::string author;
};

/** One entry of a traffic split. */
struct WeightedService {
  std::string service;
  /** The service's share of the calls is its weight divided by the sum of the
   * weights. */
  unsigned weight = 1;
};

/** Selects the calls of a service by host and path, and says how they are
 * run. */
struct ServiceRule {
  static constexpr std::chrono::milliseconds DefaultTimeout{10'000};
  static constexpr unsigned DefaultAttempts = 3;

  RuleOrigin origin;
  std::string name;
  std::string pathPrefix;
  /** True if no call of the service is idempotent, whatever its method. */
  bool isOnce = false;
  /** Name of the header with the idempotency key; empty if calls have none. */
  std::string idempotencyKeyHeader;
  /** Maximum time from a call's arrival to its answer; callers may ask for
   * less. */
  std::chrono::milliseconds timeout = DefaultTimeout;
  /** The host that calls are addressed to; any if empty. */
  std::string host;
  /** Whether calls may be run more than once; if not set, it depends on isOnce
   * and the method. */
  std::optional<bool> isRetryable;
  /** Maximum number of targets that may receive one call. */
  unsigned attempts = DefaultAttempts;
  /** The priority in every gate's queue; 0 is served first. */
  unsigned priority = 0;
  /** Time within which callers expect the answer; a later one is worth less to
   * them. Not set if it is not known. */
  std::optional<std::chrono::milliseconds> targetLatency;
  /** The services among which calls are split by weight; if empty, all calls go
   * to the service of this rule. */
  std::vector<WeightedService> trafficSplit;
  /** True if a call needs the key of a team; others are denied. */
  bool needsTeamKey = false;

  /** True if calls are recorded in the claims table before they run. */
  bool needsClaim() const { return isOnce && !idempotencyKeyHeader.empty(); }
};

/** Takes a failure domain out: its targets receive no new calls. */
struct DomainRule {
  RuleOrigin origin;
  std::string name;
};

/** Takes a VM out: its targets receive no new calls. */
struct VmRule {
  RuleOrigin origin;
  /** IP number, or IP number and port if several nodes share the number. */
  std::string address;
};

/** Limits the traffic that each VM may use to measure load. */
struct MeasureRule {
  static constexpr std::uint32_t DefaultMessagesPerSecond = 50;
  static constexpr std::uint32_t DefaultBytesPerSecond = 8192;

  RuleOrigin origin;
  std::uint32_t messagesPerSecond = DefaultMessagesPerSecond;
  std::uint32_t bytesPerSecond = DefaultBytesPerSecond;
};

/** Allows a request to be forwarded although it is suspected of crashing
 * targets. */
struct AllowRule {
  RuleOrigin origin;
  /** Fingerprint of the request, as shown by the status command. */
  std::uint64_t fingerprint = 0;
};

/** A team whose callers prove themselves with a key. */
struct TeamRule {
  RuleOrigin origin;
  std::string name;
  /** SHA-256 of each key in hexadecimal, see digestOf(). The keys themselves
   * are not kept. */
  std::vector<std::string> keyDigests;
  /** Takes precedence over the priority of the service rule, if it is set. */
  std::optional<unsigned> priority;
  /** Calls per second that all nodes together pass on for the team, besides the
   * burst; 0 if there is no limit. */
  double callsPerSecond = 0;
  /** Calls that may come at once after a pause. */
  double burst = 0;

  /** True if the number of calls is limited. */
  bool hasQuota() const { return callsPerSecond > 0; }
};

/** Configured properties of all targets of a service, which are known before a
 * target announces itself. */
struct TargetTraits {
  std::string service;
  /** Maximum rate of calls to a cold target; 0 if not configured. */
  double coldCallsPerSecond = 0;
  /** Path of the target's health check. */
  std::string healthPath;
  /** Maximum number of connections to a target; 0 if not configured. */
  unsigned connectionLimit = 0;
};

/** Moves a service's calls to targets of another version of its software. */
struct RolloutRule {
  std::string service;
  /** The version that the calls are to move to. */
  std::string softwareVersion;
  /** From the order until the move must be complete or taken back. */
  std::chrono::milliseconds duration{0};
  /** Identifies the order; a later one for the service has a higher number. */
  std::uint64_t order = 0;
};

/** Any rule. */
using Rule = std::variant<ServiceRule, DomainRule, VmRule, MeasureRule,
                          AllowRule, TeamRule>;

} // namespace plantainhatch

#endif
