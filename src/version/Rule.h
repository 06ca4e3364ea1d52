/** \file
 * The rules of a configuration, as values. */
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

/** What every rule has. */
struct RuleOrigin {
  /** The line in the rules file, counted from 1. */
  std::size_t line = 0;
  /** Who asked for the rule, from its comment. */
  std::string author;
};

/** A part of a rule's calls. */
struct WeightedService {
  std::string service;
  /** Its share is its weight among those of all parts. */
  unsigned weight = 1;
};

/** Which calls belong to a service, and how they may be run. */
struct ServiceRule {
  static constexpr std::chrono::milliseconds DefaultTimeout{10'000};
  static constexpr unsigned DefaultAttempts = 3;

  RuleOrigin origin;
  std::string name;
  std::string pathPrefix;
  /** No call of the service is idempotent, whatever its method. */
  bool isOnce = false;
  /** The header that carries the idempotency key; empty if the rule names none.
   */
  std::string idempotencyKeyHeader;
  std::chrono::milliseconds timeout = DefaultTimeout;
  /** The host that callers name; any if empty. */
  std::string host;
  /** Whether calls may be run again; by method and isOnce if not set. */
  std::optional<bool> isRetryable;
  /** The most targets that one call may be handed to. */
  unsigned attempts = DefaultAttempts;
  /** The rank at every queue; 0 goes first. */
  unsigned priority = 0;
  /** Services that share the calls by weight; the rule's own if empty. */
  std::vector<WeightedService> trafficSplit;

  /** True if calls are recorded in the platform's table before they run. */
  bool needsClaim() const { return isOnce && !idempotencyKeyHeader.empty(); }
};

/** A failure domain that receives no new work. */
struct DomainRule {
  RuleOrigin origin;
  std::string name;
};

/** A VM that receives no new work, by its IP number, or by IP and port where
 * several nodes share one number. */
struct VmRule {
  RuleOrigin origin;
  std::string address;
};

/** What each VM may spend on measuring load. */
struct MeasureRule {
  static constexpr std::uint32_t DefaultMessagesPerSecond = 50;
  static constexpr std::uint32_t DefaultBytesPerSecond = 8192;

  RuleOrigin origin;
  std::uint32_t messagesPerSecond = DefaultMessagesPerSecond;
  std::uint32_t bytesPerSecond = DefaultBytesPerSecond;
};

/** A request that is handed to targets though it is suspected of crashing them.
 */
struct AllowRule {
  RuleOrigin origin;
  /** As listed by status. */
  std::uint64_t fingerprint = 0;
};

/** What is known of all targets of a service before they announce themselves.
 */
struct TargetTraits {
  std::string service;
  /** Calls a second that a cold target bears. */
  double coldCallsPerSecond = 0;
  /** Where a target answers whether it is well. */
  std::string healthPath;
  unsigned connectionLimit = 0;
};

/** Any rule. */
using Rule =
    std::variant<ServiceRule, DomainRule, VmRule, MeasureRule, AllowRule>;

} // namespace plantainhatch

#endif
