/** \file
 * What nodes send one another over TCP: memberships and configurations. */
#ifndef PLANTAINHATCH_CONNECTION_BULKMESSAGE_H
#define PLANTAINHATCH_CONNECTION_BULKMESSAGE_H

#include "process/ConfigurationReplica.h"
#include "process/DepartureList.h"
#include "process/Membership.h"
#include "process/Message.h"

#include <cereal/types/array.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace plantainhatch {

/** Asks for the records in buckets that differ. */
struct SyncRequest {
  BucketDigests digests{};
  template <typename Archive> void serialize(Archive &archive) {
    archive(digests);
  }
};

/** Gives records without asking for any. */
struct SyncPush {
  std::vector<Member> members;
  template <typename Archive> void serialize(Archive &archive) {
    archive(members);
  }
};

/** Asks for what is newer than the version at hand. */
struct ConfigurationRequest {
  std::uint64_t version = 0;
  std::string digest;
  template <typename Archive> void serialize(Archive &archive) {
    archive(version, digest);
  }
};

/** Gives a version that was accepted a moment ago, so that it spreads though
 * the store goes down before any node has read it. */
struct ConfigurationOffer {
  ConfigurationHead head;
  std::string text;
  template <typename Archive> void serialize(Archive &archive) {
    archive(head, text);
  }
};

/** The same as a ConfigurationRequest, from a node that takes compressed
 * updates. */
struct CompactConfigurationRequest {
  std::uint64_t version = 0;
  /** Empty if the update may be of any length. */
  std::string digest;
  template <typename Archive> void serialize(Archive &archive) {
    archive(version, digest);
  }
};

/** The departures of the sender's targets, for the receiver to keep. */
struct DepartureNotice {
  std::vector<Departure> departures;
  template <typename Archive> void serialize(Archive &archive) {
    archive(departures);
  }
};

/** Asks for the departures that an earlier process at the sender's address has
 * given to the receiver. */
struct DepartureQuery {
  template <typename Archive> void serialize(Archive & /*archive*/) {}
};

/** Answers a SyncRequest. */
struct SyncReply {
  BucketDigests digests{};
  std::vector<Member> members;
  template <typename Archive> void serialize(Archive &archive) {
    archive(digests, members);
  }
};

/** Answers a ConfigurationRequest. */
struct ConfigurationReply {
  std::optional<ConfigurationUpdate> update;
  template <typename Archive> void serialize(Archive &archive) {
    archive(update);
  }
};

/** Answers a CompactConfigurationRequest. */
struct CompactConfigurationReply {
  /** An encoded ConfigurationUpdate, compressed; nothing if there is none. */
  std::optional<std::string> update;
  template <typename Archive> void serialize(Archive &archive) {
    archive(update);
  }
};

/** Answers a DepartureQuery. */
struct DepartureReply {
  std::vector<Departure> departures;
  template <typename Archive> void serialize(Archive &archive) {
    archive(departures);
  }
};

/** Answers a SyncPush, a ConfigurationOffer and a DepartureNotice, and a
 * request for a configuration about which the node can say nothing. */
struct PushReply {
  template <typename Archive> void serialize(Archive & /*archive*/) {}
};

using BulkRequestBody =
    std::variant<SyncRequest, SyncPush, ConfigurationRequest,
                 ConfigurationOffer, CompactConfigurationRequest,
                 DepartureNotice, DepartureQuery>;
using BulkReplyBody = std::variant<SyncReply, PushReply, ConfigurationReply,
                                   CompactConfigurationReply, DepartureReply>;

/** A request. The nonce comes back in the reply, so that a recorded reply is of
 * no use. */
struct BulkRequest {
  MessageHeader header;
  std::uint64_t nonce = 0;
  BulkRequestBody body;
  template <typename Archive> void serialize(Archive &archive) {
    archive(header, nonce, body);
  }
};

/** A reply. */
struct BulkReply {
  MessageHeader header;
  std::uint64_t nonce = 0;
  BulkReplyBody body;
  template <typename Archive> void serialize(Archive &archive) {
    archive(header, nonce, body);
  }
};

} // namespace plantainhatch

#endif
