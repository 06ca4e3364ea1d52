/** \file
 * The datagrams between nodes, as typed values. */
#ifndef PLANTAINHATCH_PROCESS_MESSAGE_H
#define PLANTAINHATCH_PROCESS_MESSAGE_H

#include "base/HybridClock.h"
#include "process/BoundedSerialization.h"
#include "process/Member.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace plantainhatch {

/** Asks the receiver for an Ack. */
struct Ping {
  std::uint64_t sequence = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(sequence);
  }
};

/** Answers a Ping, or reports to the sender of a PingRequest that its subject
 * has answered. */
struct Ack {
  std::uint64_t sequence = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(sequence);
  }
};

/** Asks the receiver to ping the subject on the sender's behalf. */
struct PingRequest {
  std::uint64_t sequence = 0;
  Address subject;
  template <typename Archive> void serialize(Archive &archive) {
    archive(sequence, subject);
  }
};

/** Carries a header and updates only; not answered. */
struct Gossip {
  template <typename Archive> void serialize(Archive & /*archive*/) {}
};

/** Asks for the load of the receiver's target. */
struct LoadProbe {
  std::uint64_t sequence = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(sequence);
  }
};

/** The load of a node's target, as its gate knows it. */
struct LoadReport {
  std::uint64_t sequence = 0;
  std::uint16_t inFlight = 0;
  std::uint16_t limit = 0;
  std::uint32_t latencyUs = 0;
  /** How long work takes at the moment; 100 means as usual. */
  std::uint16_t slowdownPercent = 100;
  /** The target bears only a little at the moment. */
  bool isCold = false;
  /** Of the target's last calls, those that failed. */
  std::uint16_t failurePercent = 0;

  template <typename Archive> void serialize(Archive &archive) {
    archive(sequence, inFlight, limit, latencyUs, slowdownPercent, isCold,
            failurePercent);
  }
};

/** A target died with requests of these fingerprints in flight. Answered by a
 * CrashAck. */
struct CrashReport {
  std::uint64_t sequence = 0;
  /** The peers address of the node beside the target. */
  Address target;
  std::string bootId;
  std::vector<std::uint64_t> fingerprints;
  template <typename Archive> void serialize(Archive &archive) {
    archive(sequence, target, bootId, fingerprints);
  }
};

/** Answers a CrashReport. */
struct CrashAck {
  std::uint64_t sequence = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(sequence);
  }
};

/** A request with this fingerprint was answered in full, so it is not what
 * killed a target. */
struct CrashCleared {
  std::uint64_t fingerprint = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(fingerprint);
  }
};

/** Asks whether a request with this fingerprint was answered in full within the
 * last \c ageMs, which is the time since the last death that it is blamed for.
 * Answered by a CrashCleared if so. */
struct CrashQuery {
  std::uint64_t fingerprint = 0;
  std::uint32_t ageMs = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(fingerprint, ageMs);
  }
};

/** The body of a datagram. */
using MessageBody =
    std::variant<Ping, Ack, PingRequest, Gossip, LoadProbe, LoadReport,
                 CrashReport, CrashAck, CrashCleared, CrashQuery>;

/** What precedes each body. */
struct MessageHeader {
  static constexpr std::uint8_t CurrentProtocol = 1;

  std::uint8_t protocol = CurrentProtocol;
  std::string cluster;
  Address sender;
  std::uint64_t generation = 0;
  HybridTime time;
  /** The configuration version that is in force at the sender. */
  std::uint64_t configurationVersion = 0;

  template <typename Archive> void serialize(Archive &archive) {
    archive(protocol, cluster, sender, generation, time, configurationVersion);
  }
};

/** A whole datagram. */
struct Message {
  MessageHeader header;
  MessageBody body;
  std::vector<Member> members;
  std::vector<LivenessUpdate> livenessUpdates;

  template <typename Archive> void serialize(Archive &archive) {
    archive(header, body, members, livenessUpdates);
  }
};

/** A body on its way to a node. */
struct OutgoingMessage {
  Address receiver;
  MessageBody body;
};

} // namespace plantainhatch

#endif
