/** \file
 * Membership of the fleet and failure detection, by a SWIM-style gossip
 * protocol. Time and the random seed are arguments, so that runs are
 * reproducible. */
#ifndef PLANTAINHATCH_PROCESS_MEMBERSHIP_H
#define PLANTAINHATCH_PROCESS_MEMBERSHIP_H

#include "base/Time.h"
#include "process/GossipQueue.h"
#include "process/Member.h"
#include "process/Message.h"

#include <array>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace plantainhatch {

/** A change of one member's record; \c before is empty for a new member. */
struct MemberChange {
  std::optional<Member> before;
  Member after;
};

/** Digests for anti-entropy: members are hashed into buckets by address, and
 * each bucket has one digest of its records. */
using BucketDigests = std::array<std::uint64_t, 64>;

/** One node's view of the fleet, which is all nodes of a cluster, kept by the
 * SWIM protocol. Nodes probe one another in round-robin order, first directly
 * and then through other members. A member that does not answer becomes
 * suspect, and dead unless it refutes the suspicion before a timeout. A node
 * with signs of being slow itself uses longer timeouts (Lifeguard). The view is
 * eventually consistent and only serves to select nodes; correctness must not
 * depend on it. Performs no I/O: the caller sends the returned messages. Not
 * thread-safe. */
class Membership {
public:
  static constexpr std::chrono::milliseconds TickInterval{100};
  static constexpr std::chrono::milliseconds ProbeInterval{500};
  static constexpr std::chrono::milliseconds ProbeTimeout{200};
  static constexpr std::chrono::milliseconds GossipInterval{200};
  /** Interval of probes of dead members, which find those that have come back,
   * for example after a network partition. */
  static constexpr std::chrono::milliseconds DeadProbeInterval{5'000};
  /** How long the record of a member that died or left is kept, so that delayed
   * updates do not resurrect it. */
  static constexpr std::chrono::minutes TombstoneLifetime{60};
  /** A longer gap between two ticks means that this process was suspended. */
  static constexpr std::chrono::milliseconds PauseThreshold{1'500};
  /** Members asked to probe a member that does not answer a direct probe. */
  static constexpr std::size_t IndirectProbes = 3;
  /** Members that receive updates in each gossip round. */
  static constexpr std::size_t GossipFanout = 3;

  /** \pre \p self has its addresses, failure domain and generation set. */
  Membership(Member self, std::uint64_t seed);

  /** Runs all timers: probes, gossip and expiry. Must be called about every
   * TickInterval.
   * \return messages to send. */
  std::vector<OutgoingMessage> tick(TimePoint now);

  /** Merges the updates of a message and handles its payload. Payloads other
   * than those of the failure detector are ignored.
   * \pre The message was authenticated and belongs to this cluster.
   * \return replies to send. */
  std::vector<OutgoingMessage> receive(const Message &message, TimePoint now);

  /** Piggybacks pending updates on an outgoing message, up to the size limit of
   * a datagram. */
  void addUpdates(Message &message, const Address &receiver);

  /** Sets the local target in this node's own record. A change is gossiped. */
  void setTarget(const Target &target);

  /** Marks this node as having left, which is gossiped. */
  void leave();

  /** Makes one round of gossip messages to random members, for updates that
   * should not wait for the next tick. */
  std::vector<OutgoingMessage> makeGossip();

  /** Merges records from an anti-entropy exchange.
   * \param shouldGossip is true if the records are to be gossiped further: true
   * for records that were pushed to this node, false for those that it
   * requested, since a joining node would otherwise gossip the whole fleet. */
  void merge(const std::vector<Member> &members, bool shouldGossip,
             TimePoint now);

  /** A random member that is present, or nothing if this node is alone. */
  std::optional<Address> pickRandomPeer();

  /** Digests of all records, to be compared with those of another node. */
  BucketDigests digests() const;

  /** All records in the buckets whose digests differ from \p remote. */
  std::vector<Member> membersThatDiffer(const BucketDigests &remote) const;

  /** Returns and clears the changes since the last call, oldest first. */
  std::vector<MemberChange> takeChanges();

  /** The record with this peers address, this node's own included, or null. The
   * pointer is valid until the next non-const call. */
  const Member *find(const Address &peersAddress) const;

  const Member &self() const { return selfMember; }
  /** All other members by peers address, including dead ones and those that
   * left. */
  const std::map<Address, Member> &others() const { return members; }
  /** Number of members that are alive or suspect, including this node. */
  std::size_t presentCount() const { return present.size() + 1; }
  /** True if no other member is present, or no message was received for two
   * probe intervals. */
  bool isIsolated(TimePoint now) const;
  /** True if the latest probes of this node have failed, so that it may be cut
   * off from a part of the fleet, or slow. */
  bool isInDoubt() const { return localHealthScore > 0; }
  /** True if, since the last call, tick() has detected that this process was
   * suspended. Resets the flag. */
  bool takePauseDetected() { return std::exchange(pauseDetected, false); }
  /** Number of updates that are still to be sent. */
  std::size_t pendingUpdates() const { return gossipQueue.size(); }

private:
  /** The current probe of the failure detector. */
  struct Probe {
    Address subject;
    std::uint64_t sequence = 0;
    TimePoint sentAt;
    bool isIndirectSent = false;
  };
  /** A ping on behalf of another member. */
  struct Relay {
    Address requester;
    std::uint64_t requesterSequence = 0;
    TimePoint sentAt;
  };

  Member selfMember;
  std::map<Address, Member> members;
  /** Addresses of the members that are present, in probing order. Shuffled
   * after each round, so that the time to the next probe of a member is
   * bounded. */
  std::vector<Address> present;
  std::size_t probePosition = 0;
  std::map<Address, TimePoint> suspicionDeadlines;
  /** When each absent member died or left. */
  std::map<Address, TimePoint> tombstones;
  /** By the sequence number of the ping that was sent to the subject. */
  std::map<std::uint64_t, Relay> relays;
  std::optional<Probe> probe;
  GossipQueue gossipQueue;
  std::vector<MemberChange> changes;
  std::mt19937_64 random;
  std::uint64_t nextSequence = 1;
  /** Lifeguard's score of this node's own health: 0 is healthy, and each point
   * lengthens the timeouts by their base value. */
  unsigned localHealthScore = 0;
  bool pauseDetected = false;
  TimePoint lastTick;
  TimePoint nextProbeAt;
  TimePoint nextGossipAt;
  TimePoint nextDeadProbeAt;
  TimePoint lastHeardAt;

  void onPauseDetected(TimePoint now);
  void continueProbe(TimePoint now, std::vector<OutgoingMessage> &out);
  void startProbe(TimePoint now, std::vector<OutgoingMessage> &out);
  void probeDead(TimePoint now, std::vector<OutgoingMessage> &out);
  void gossip(TimePoint now, std::vector<OutgoingMessage> &out);
  void expireSuspicions(TimePoint now);
  void expireTombstones(TimePoint now);
  void expireRelays(TimePoint now);
  void onAck(const Ack &ack, TimePoint now, std::vector<OutgoingMessage> &out);
  void onPingRequest(const PingRequest &request, const Address &sender,
                     TimePoint now, std::vector<OutgoingMessage> &out);
  void mergeMember(const Member &member, bool shouldGossip, TimePoint now);
  void mergeLivenessUpdate(const LivenessUpdate &update, TimePoint now);
  void store(Member member, bool shouldGossip, TimePoint now);
  /** Raises this node's incarnation above a record that outranks its own. */
  void refute(std::uint64_t generation, std::uint64_t incarnation);
  void announceSelf();
  void updatePresence(const Member &member);
  void updateDeadlines(const Member &member, TimePoint now);
  std::vector<Address> pickRandomPeers(std::size_t count,
                                       const Address &except);
  Duration scaled(Duration duration) const;
  Duration suspicionTimeout() const;
};

} // namespace plantainhatch

#endif
