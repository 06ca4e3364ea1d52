/** \file
 * What nodes know of one another. */
#ifndef PLANTAINHATCH_PROCESS_MEMBER_H
#define PLANTAINHATCH_PROCESS_MEMBER_H

#include "base/Address.h"
#include "process/BoundedSerialization.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace plantainhatch {

/** What the fleet believes of a node. The order is that of precedence within an
 * incarnation. */
enum class Liveness : std::uint8_t { Alive, Suspect, Dead, Left };

/** What a node says of the target beside it. */
enum class TargetState : std::uint8_t { Absent, Cold, Warm, Leaving };

/** "alive", "suspect", "dead" or "left". */
std::string_view toString(Liveness liveness);

/** "absent", "cold", "warm" or "leaving". */
std::string_view toString(TargetState state);

/** The target beside a node, as it announced itself. */
struct Target {
  std::string service;
  Address address;
  std::uint16_t slots = 0;
  std::uint16_t coldSlots = 0;
  std::uint16_t connections = 0;
  /** Differs for each start of the target. */
  std::string bootId;
  std::string loadPath;
  TargetState state = TargetState::Absent;
  /** True if its runs have called other services through its node. */
  bool callsOtherServices = false;

  /** True if new work may be handed to it. */
  bool isServing() const {
    return state == TargetState::Cold || state == TargetState::Warm;
  }

  bool operator==(const Target &) const = default;

  /** Serialization hook. */
  template <typename Archive> void serialize(Archive &archive) {
    archive(service, address, slots, coldSlots, connections, bootId, loadPath,
            state, callsOtherServices);
    internal::checkEnum(state, TargetState::Leaving);
  }
};

/** One node, as described by itself and judged by others. The peers address is
 * its identity; a new process at the same address has a higher generation. */
struct Member {
  Address peersAddress;
  Address callersAddress;
  std::string failureDomain;
  /** Chosen at start, higher for each start at the same address. */
  std::uint64_t generation = 0;
  /** Raised by the node itself with every change and to refute a suspicion. */
  std::uint64_t incarnation = 0;
  Liveness liveness = Liveness::Alive;
  Target target;

  /** A record with a higher rank replaces one with a lower rank. */
  auto rank() const { return std::tuple(generation, incarnation, liveness); }
  /** True if the node is believed to take part. */
  bool isPresent() const {
    return liveness == Liveness::Alive || liveness == Liveness::Suspect;
  }
  /** True if calls may be forwarded to its target, before configuration is
   * considered. */
  bool isCandidate() const { return isPresent() && target.isServing(); }

  bool operator==(const Member &) const = default;

  /** Serialization hook. */
  template <typename Archive> void serialize(Archive &archive) {
    archive(peersAddress, callersAddress, failureDomain, generation,
            incarnation, liveness, target);
    internal::checkEnum(liveness, Liveness::Left);
  }
};

/** A judgement of a member without its description, which keeps failures of
 * many members small on the wire. */
struct LivenessUpdate {
  Address peersAddress;
  std::uint64_t generation = 0;
  std::uint64_t incarnation = 0;
  Liveness liveness = Liveness::Suspect;

  auto rank() const { return std::tuple(generation, incarnation, liveness); }

  /** Serialization hook. */
  template <typename Archive> void serialize(Archive &archive) {
    archive(peersAddress, generation, incarnation, liveness);
    internal::checkEnum(liveness, Liveness::Left);
  }
};

} // namespace plantainhatch

#endif
