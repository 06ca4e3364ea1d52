/** \file
 * Types of the UDP datagrams that nodes exchange. The order of the fields and
 * of the variant alternatives is the wire format. */
#ifndef PLANTAINHATCH_PROCESS_MESSAGE_H
#define PLANTAINHATCH_PROCESS_MESSAGE_H

#include "base/HybridClock.h"
#include "process/BoundedSerialization.h"
#include "process/Member.h"
#include "process/RolloutPhase.h"

#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

namespace plantainhatch {

/** Liveness probe; the receiver replies with an Ack. */
struct Ping {
  std::uint64_t sequence = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(sequence);
  }
};

/** Reply to a Ping, with its sequence number. Also sent to the requester of an
 * indirect probe once the subject has replied. */
struct Ack {
  std::uint64_t sequence = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(sequence);
  }
};

/** Indirect probe: asks the receiver to ping \c subject on the sender's
 * behalf. */
struct PingRequest {
  std::uint64_t sequence = 0;
  Address subject;
  template <typename Archive> void serialize(Archive &archive) {
    archive(sequence, subject);
  }
};

/** Carries only a header and piggybacked updates; no reply is sent. */
struct Gossip {
  template <typename Archive> void serialize(Archive & /*archive*/) {}
};

/** Asks for the load of the receiver's local target; answered by a
 * LoadReport. */
struct LoadProbe {
  std::uint64_t sequence = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(sequence);
  }
};

/** Load of a node's local target, as measured at its gate. Sent in reply to a
 * LoadProbe, and unsolicited when the load changes abruptly. */
struct LoadReport {
  /** That of the LoadProbe; 0 if unsolicited. */
  std::uint64_t sequence = 0;
  /** Calls in flight and in the queue of the gate. */
  std::uint16_t inFlight = 0;
  /** Concurrent calls that the gate allows. */
  std::uint16_t limit = 0;
  /** Expected latency of the next call. */
  std::uint32_t latencyUs = 0;
  /** Processing time relative to normal: 100 is normal, 200 twice as slow. */
  std::uint16_t slowdownPercent = 100;
  /** True while the target is rate-limited because it is cold. */
  bool isCold = false;
  /** Recent share of failed calls, as a decaying average. */
  std::uint16_t failurePercent = 0;

  template <typename Archive> void serialize(Archive &archive) {
    archive(sequence, inFlight, limit, latencyUs, slowdownPercent, isCold,
            failurePercent);
  }
};

/** Reports that a target crashed while requests with these fingerprints were in
 * flight. Answered by a CrashAck. */
struct CrashReport {
  std::uint64_t sequence = 0;
  /** The peers address of the node that the target is attached to. */
  Address target;
  /** Identifies the instance that crashed. */
  std::string bootId;
  std::vector<std::uint64_t> fingerprints;
  template <typename Archive> void serialize(Archive &archive) {
    archive(sequence, target, bootId, fingerprints);
  }
};

/** Reply to a CrashReport, with its sequence number. */
struct CrashAck {
  std::uint64_t sequence = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(sequence);
  }
};

/** A request with this fingerprint completed with a full answer, so it is no
 * longer suspected of crashing targets. */
struct CrashCleared {
  std::uint64_t fingerprint = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(fingerprint);
  }
};

/** Asks whether a request with this fingerprint has completed since the last
 * crash that it is suspected of. Answered by a CrashCleared if so, otherwise
 * not at all. Repairs the loss of a CrashCleared datagram. */
struct CrashQuery {
  std::uint64_t fingerprint = 0;
  /** Time since that crash. An age needs no synchronized clocks. */
  std::uint32_t ageMs = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(fingerprint, ageMs);
  }
};

/** An unsolicited LoadReport on its way through a relay. A receiver in another
 * failure domain than the sender's is a relay and sends it to the members of
 * its own; see BroadcastPlan. */
struct RelayedLoad {
  /** The peers address of the node whose target the report is about. */
  Address subject;
  LoadReport report;
  template <typename Archive> void serialize(Archive &archive) {
    archive(subject, report);
  }
};

/** Asks the receiver which version of the configuration is the newest, as the
 * source of versions says. Answered by a VersionProof, or not at all if the
 * receiver does not find out in time. */
struct VersionQuery {
  std::uint64_t nonce = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(nonce);
  }
};

/** Reply to a VersionQuery, with its nonce. */
struct VersionProof {
  std::uint64_t nonce = 0;
  /** The newest version at the moment of the proof. */
  std::uint64_t version = 0;
  /** Time since that moment. An age needs no synchronized clocks. */
  std::uint32_t ageMs = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(nonce, version, ageMs);
  }
};

/** Asks for the rule that a call with this host and path is run by, at a node
 * that has a newer version than the sender. Answered by a RuleAnswer. */
struct RuleQuery {
  std::uint64_t nonce = 0;
  /** The receiver answers only if it has this version or a newer one. */
  std::uint64_t leastVersion = 0;
  std::string host;
  std::string path;
  /** The digest of the caller's key; empty if there is none. */
  std::string keyDigest;
  template <typename Archive> void serialize(Archive &archive) {
    archive(nonce, leastVersion, host, path, keyDigest);
  }
};

/** Reply to a RuleQuery, with its nonce. */
struct RuleAnswer {
  static constexpr std::uint32_t NoProof =
      std::numeric_limits<std::uint32_t>::max();

  std::uint64_t nonce = 0;
  /** The version that the rule is taken from. */
  std::uint64_t version = 0;
  /** As encodeRecord() makes it; empty if no rule matches. */
  std::string record;
  /** The team that holds the key, if the rule needs one; otherwise empty. */
  std::string teamRecord;
  /** Time since a moment at which the version was the newest; NoProof if none
   * is known. An age needs no synchronized clocks. */
  std::uint32_t proofAgeMs = NoProof;
  template <typename Archive> void serialize(Archive &archive) {
    archive(nonce, version, record, teamRecord, proofAgeMs);
  }
};

/** Asks the receiver for its part of the quotas of some groups of teams.
 * Answered by a QuotaPledgeAnswer. */
struct QuotaPledgeQuery {
  std::uint64_t nonce = 0;
  /** One bit for each group. */
  std::uint8_t groups = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(nonce, groups);
  }
};

/** Reply to a QuotaPledgeQuery, with its nonce. */
struct QuotaPledgeAnswer {
  std::uint64_t nonce = 0;
  /** The groups whose part is given. */
  std::uint8_t groups = 0;
  /** Nodes among which the sender takes the quotas to be divided. */
  std::uint32_t parts = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(nonce, groups, parts);
  }
};

/** What a node needs for the calls of one team. */
struct QuotaNeed {
  /** stableHash() of the team's name. */
  std::uint64_t team = 0;
  std::uint32_t wanted = 0;
  std::uint32_t held = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(team, wanted, held);
  }
};

/** Asks a keeper for tokens. Answered by a QuotaAnswer. */
struct QuotaQuery {
  static constexpr std::size_t MaxNeeds = 48;

  /** Grows with each question of the sender. */
  std::uint64_t sequence = 0;
  std::uint8_t group = 0;
  std::vector<QuotaNeed> needs;
  template <typename Archive> void serialize(Archive &archive) {
    archive(sequence, group, needs);
  }
};

/** What a node gets for the calls of one team. */
struct QuotaAllotment {
  std::uint64_t team = 0;
  std::uint32_t tokens = 0;
  std::uint32_t waitMs = 0;
  bool hasPart = false;
  template <typename Archive> void serialize(Archive &archive) {
    archive(team, tokens, waitMs, hasPart);
  }
};

/** Reply to a QuotaQuery, with its sequence number. */
struct QuotaAnswer {
  std::uint64_t sequence = 0;
  std::uint8_t group = 0;
  std::vector<QuotaAllotment> allotments;
  template <typename Archive> void serialize(Archive &archive) {
    archive(sequence, group, allotments);
  }
};

/** What a node has seen of a roll-out, sent to the nodes that may decide about
 * it. Answered by a RolloutNews if the receiver decides or knows the end. */
struct RolloutReport {
  std::string service;
  std::uint64_t order = 0;
  /** As far as the sender knows. */
  RolloutPhase phase = RolloutPhase::Unknown;
  /** Time since the order became known. */
  std::uint32_t ageMs = 0;
  std::vector<RolloutCount> counts;
  template <typename Archive> void serialize(Archive &archive) {
    archive(service, order, phase, ageMs, counts);
    internal::checkEnum(phase, RolloutPhase::Completed);
  }
};

/** How far a roll-out is, as the deciding node says. */
struct RolloutNews {
  std::string service;
  std::uint64_t order = 0;
  RolloutPhase phase = RolloutPhase::Unknown;
  /** Time since the order became known. */
  std::uint32_t ageMs = 0;
  template <typename Archive> void serialize(Archive &archive) {
    archive(service, order, phase, ageMs);
    internal::checkEnum(phase, RolloutPhase::Completed);
  }
};

/** The payload of a datagram. */
using MessageBody =
    std::variant<Ping, Ack, PingRequest, Gossip, LoadProbe, LoadReport,
                 CrashReport, CrashAck, CrashCleared, CrashQuery, RelayedLoad,
                 VersionQuery, VersionProof, RuleQuery, RuleAnswer,
                 QuotaPledgeQuery, QuotaPledgeAnswer, QuotaQuery, QuotaAnswer,
                 RolloutReport, RolloutNews>;

/** Fields common to all messages between nodes. Messages with another protocol
 * number or cluster name are dropped. */
struct MessageHeader {
  static constexpr std::uint8_t CurrentProtocol = 1;

  std::uint8_t protocol = CurrentProtocol;
  std::string cluster;
  Address sender;
  std::uint64_t generation = 0;
  HybridTime time;
  /** The configuration version active at the sender. */
  std::uint64_t configurationVersion = 0;

  template <typename Archive> void serialize(Archive &archive) {
    archive(protocol, cluster, sender, generation, time, configurationVersion);
  }
};

/** A complete datagram: header, payload and piggybacked membership updates. */
struct Message {
  MessageHeader header;
  MessageBody body;
  std::vector<Member> members;
  std::vector<LivenessUpdate> livenessUpdates;

  template <typename Archive> void serialize(Archive &archive) {
    archive(header, body, members, livenessUpdates);
  }
};

/** A payload and the node it is to be sent to. */
struct OutgoingMessage {
  Address receiver;
  MessageBody body;
};

} // namespace plantainhatch

#endif
