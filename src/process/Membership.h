/** \file
 * Which nodes there are: a SWIM-style protocol with time and seed as arguments.
 */
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

/** A change of one member; \c before is empty for a new one. */
struct MemberChange {
  std::optional<Member> before;
  Member after;
};

/** Digests of the membership, one for each bucket of addresses. */
using BucketDigests = std::array<std::uint64_t, 64>;

/** One node's view of the fleet. Nodes probe one another in turn, directly and
 * then through others; a node that does not answer is suspected, and is dead
 * unless it refutes in time. A node that doubts its own health waits longer
 * before it suspects others (Lifeguard). Nothing safe rests on this view: it
 * only guides guesses. Not thread-safe. */
class Membership {
public:
  static constexpr std::chrono::milliseconds TickInterval{100};
  static constexpr std::chrono::milliseconds ProbeInterval{500};
  static constexpr std::chrono::milliseconds ProbeTimeout{200};
  static constexpr std::chrono::milliseconds GossipInterval{200};
  static constexpr std::chrono::milliseconds DeadProbeInterval{5'000};
  /** How long a dead member is remembered, so that late news does not bring it
   * back. */
  static constexpr std::chrono::minutes TombstoneLifetime{60};
  /** A longer gap between two ticks means that this process was paused. */
  static constexpr std::chrono::milliseconds PauseThreshold{1'500};
  static constexpr std::size_t IndirectProbes = 3;
  static constexpr std::size_t GossipFanout = 3;

  /** \pre \p self has its addresses, failure domain and generation. */
  Membership(Member self, std::uint64_t seed);

  /** Advances time. \pre Called about every TickInterval. */
  std::vector<OutgoingMessage> tick(TimePoint now);

  /** Takes in a message that was authenticated and belongs to this cluster.
   * \return the answers to send. Bodies that are not about membership are
   * ignored. */
  std::vector<OutgoingMessage> receive(const Message &message, TimePoint now);

  /** Adds news to an outgoing message, up to its size limit. */
  void addUpdates(Message &message, const Address &receiver);

  /** Makes news of the target beside this node. */
  void setTarget(const Target &target);

  /** Says that this node leaves. */
  void leave();

  /** Notices to a few random members, which spread urgent news without waiting
   * for a tick. */
  std::vector<OutgoingMessage> makeGossip();

  /** Merges records received in bulk. \param isNews is whether they are to be
   * spread. What a node asked for is not, as a node that joins would otherwise
   * repeat the whole fleet; what was pushed to it is. */
  void merge(const std::vector<Member> &members, bool isNews, TimePoint now);

  /** A member picked at random among those present, or nothing if this node is
   * alone. */
  std::optional<Address> pickRandomPeer();

  /** Digests for anti-entropy. */
  BucketDigests digests() const;

  /** Records in the buckets where \p remote differs from this view. */
  std::vector<Member> membersThatDiffer(const BucketDigests &remote) const;

  /** Changes since the last call, in order. */
  std::vector<MemberChange> takeChanges();

  /** The member with this peers address, if known. */
  const Member *find(const Address &peers) const;

  const Member &self() const { return selfMember; }
  /** All members but this node, also dead ones. */
  const std::map<Address, Member> &others() const { return members; }
  /** Number of members present, this node included. */
  std::size_t presentCount() const { return present.size() + 1; }
  /** True if no datagram has come in for two probe intervals although others
   * are known. */
  bool isIsolated(TimePoint now) const;
  /** True if tick() has seen a pause since the last call of this function. */
  bool takePauseDetected() { return std::exchange(pauseDetected, false); }
  /** News that waits to be sent. */
  std::size_t pendingUpdates() const { return gossipQueue.size(); }

private:
  struct Probe {
    Address subject;
    std::uint64_t sequence = 0;
    TimePoint sentAt;
    bool isIndirectSent = false;
  };
  struct Relay {
    Address requester;
    std::uint64_t requesterSequence = 0;
    TimePoint sentAt;
  };

  Member selfMember;
  std::map<Address, Member> members;
  /** Addresses of members present, in probing order. */
  std::vector<Address> present;
  std::size_t probePosition = 0;
  std::map<Address, TimePoint> suspicionDeadlines;
  std::map<Address, TimePoint> tombstones;
  std::map<std::uint64_t, Relay> relays;
  std::optional<Probe> probe;
  GossipQueue gossipQueue;
  std::vector<MemberChange> changes;
  std::mt19937_64 random;
  std::uint64_t nextSequence = 1;
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
  void mergeMember(const Member &member, bool isNews, TimePoint now);
  void mergeLivenessUpdate(const LivenessUpdate &verdict, TimePoint now);
  void store(Member member, bool isNews, TimePoint now);
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
