/** \file
 * Membership records: what nodes know about one another and their targets. */
#ifndef PLANTAINHATCH_PROCESS_MEMBER_H
#define PLANTAINHATCH_PROCESS_MEMBER_H

#include "base/Address.h"
#include "process/BoundedSerialization.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace plantainhatch {

/** Liveness of a node in the view of the others. Within one incarnation, a
 * later enumerator overrides an earlier one. */
enum class Liveness : std::uint8_t { Alive, Suspect, Dead, Left };

/** State of a node's local target, as the node announces it. */
enum class TargetState : std::uint8_t { Absent, Cold, Warm, Leaving };

/** "alive", "suspect", "dead" or "left". */
std::string_view toString(Liveness liveness);

/** "absent", "cold", "warm" or "leaving". */
std::string_view toString(TargetState state);

/** The target attached to a node, as it announced itself. A node has at most
 * one. */
struct Target {
  std::string service;
  Address address;
  /** Concurrent calls that the target can process when warm. */
  std::uint16_t slots = 0;
  /** Concurrent calls that a new instance can process. */
  std::uint16_t coldSlots = 0;
  std::uint16_t connections = 0;
  /** Identifies the instance, that is one start of the target. */
  std::string bootId;
  std::string loadPath;
  /** The version of its software; empty if it does not tell. */
  std::string softwareVersion;
  TargetState state = TargetState::Absent;
  /** True if the target has called other services through its node while it
   * processed a request. */
  bool callsOtherServices = false;

  /** True if the target accepts new calls. */
  bool isServing() const {
    return state == TargetState::Cold || state == TargetState::Warm;
  }

  bool operator==(const Target &) const = default;

  /** Serialization hook. */
  template <typename Archive> void serialize(Archive &archive) {
    archive(service, address, slots, coldSlots, connections, bootId, loadPath,
            softwareVersion, state, callsOtherServices);
    internal::checkEnum(state, TargetState::Leaving);
  }
};

/** The record of one node: its own description, and its liveness as determined
 * by the others. The peers address identifies the node; a new process at the
 * same address has a higher generation. */
struct Member {
  /** Where the node receives datagrams and bulk requests of other nodes. */
  Address peersAddress;
  /** Where the node accepts calls that other nodes forward to it. */
  Address callersAddress;
  std::string failureDomain;
  /** Set at process start; each start at the same address has a higher one. */
  std::uint64_t generation = 0;
  /** Raised only by the node itself: with each change of its record, and to
   * refute a suspicion. */
  std::uint64_t incarnation = 0;
  Liveness liveness = Liveness::Alive;
  Target target;

  /** Precedence among records of the same node: the higher rank wins. */
  auto rank() const { return std::tuple(generation, incarnation, liveness); }
  /** True if the node is considered part of the fleet (alive or suspect). */
  bool isPresent() const {
    return liveness == Liveness::Alive || liveness == Liveness::Suspect;
  }
  /** True if calls may be forwarded to its target, unless the configuration
   * excludes it. */
  bool isCandidate() const { return isPresent() && target.isServing(); }

  bool operator==(const Member &) const = default;

  /** Serialization hook. */
  template <typename Archive> void serialize(Archive &archive) {
    archive(peersAddress, callersAddress, failureDomain, generation,
            incarnation, liveness, target);
    internal::checkEnum(liveness, Liveness::Left);
  }
};

/** A change of liveness without the rest of the member's record, so that the
 * failure of many members at once stays small on the wire. */
struct LivenessUpdate {
  Address peersAddress;
  std::uint64_t generation = 0;
  std::uint64_t incarnation = 0;
  Liveness liveness = Liveness::Suspect;

  /** As for a full record. */
  auto rank() const { return std::tuple(generation, incarnation, liveness); }

  /** Serialization hook. */
  template <typename Archive> void serialize(Archive &archive) {
    archive(peersAddress, generation, incarnation, liveness);
    internal::checkEnum(liveness, Liveness::Left);
  }
};

} // namespace plantainhatch

#endif
