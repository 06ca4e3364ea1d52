#include "process/Membership.h"

#include "base/Digest.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace plantainhatch {

namespace {

constexpr unsigned MaxLocalHealthScore = 8;
/** Suspicion timeout in probe intervals for up to 10 members; it grows with the
 * logarithm of the fleet size. */
constexpr double SuspicionFactor = 5.0;
/** Leaves room for the header and the digest within the smallest MTU in use. */
constexpr std::size_t MaxUpdateBytes = 1000;
/** Estimates of the encoded sizes, without the strings. */
constexpr std::size_t MemberFixedBytes = 120;
constexpr std::size_t LivenessUpdateBytes = 48;
constexpr std::chrono::seconds RelayLifetime{2};
/** Random draws per requested member, after which fewer are returned. */
constexpr std::size_t DrawsPerPick = 4;

std::size_t bucketOf(const Address &address) {
  return stableHash(address.toString()) % std::tuple_size_v<BucketDigests>;
}

std::uint64_t digestOfMember(const Member &member) {
  return stableHash(member.peersAddress.toString() + "/" +
                    std::to_string(member.generation) + "/" +
                    std::to_string(member.incarnation) + "/" +
                    std::string(toString(member.liveness)));
}

std::size_t encodedSize(const Member &member) {
  return MemberFixedBytes + member.peersAddress.host.size() +
         member.callersAddress.host.size() + member.failureDomain.size() +
         member.target.service.size() + member.target.address.host.size() +
         member.target.bootId.size() + member.target.loadPath.size();
}

} // namespace

Membership::Membership(Member self, std::uint64_t seed)
    : selfMember(std::move(self)), random(seed) {
  announceSelf();
}

std::vector<OutgoingMessage> Membership::tick(TimePoint now) {
  std::vector<OutgoingMessage> out;
  if (lastTick != TimePoint{} && now - lastTick > PauseThreshold)
    onPauseDetected(now);
  lastTick = now;
  continueProbe(now, out);
  startProbe(now, out);
  probeDead(now, out);
  gossip(now, out);
  expireSuspicions(now);
  expireTombstones(now);
  expireRelays(now);
  return out;
}

void Membership::onPauseDetected(TimePoint now) {
  pauseDetected = true;
  probe.reset();
  relays.clear();
  localHealthScore = MaxLocalHealthScore;
  lastHeardAt = now;
  const Duration gap = now - lastTick;
  for (auto &deadline : suspicionDeadlines | std::views::values)
    deadline += gap;
}

void Membership::continueProbe(TimePoint now,
                               std::vector<OutgoingMessage> &out) {
  if (!probe)
    return;
  if (!probe->isIndirectSent && now - probe->sentAt >= scaled(ProbeTimeout)) {
    probe->isIndirectSent = true;
    for (const Address &intermediary :
         pickRandomPeers(IndirectProbes, probe->subject))
      out.push_back(
          {intermediary, PingRequest{probe->sequence, probe->subject}});
  }
  if (now - probe->sentAt < scaled(ProbeInterval))
    return;
  const Address subject = probe->subject;
  probe.reset();
  localHealthScore = std::min(localHealthScore + 1, MaxLocalHealthScore);
  const auto it = members.find(subject);
  if (it == members.end() || it->second.liveness != Liveness::Alive)
    return;
  Member suspected = it->second;
  suspected.liveness = Liveness::Suspect;
  store(std::move(suspected), true, now);
}

void Membership::startProbe(TimePoint now, std::vector<OutgoingMessage> &out) {
  if (probe || now < nextProbeAt || present.empty())
    return;
  nextProbeAt = now + ProbeInterval;
  if (probePosition >= present.size()) {
    std::ranges::shuffle(present, random);
    probePosition = 0;
  }
  probe = Probe{present[probePosition++], nextSequence++, now, false};
  out.push_back({probe->subject, Ping{probe->sequence}});
}

void Membership::probeDead(TimePoint now, std::vector<OutgoingMessage> &out) {
  if (now < nextDeadProbeAt || tombstones.empty())
    return;
  nextDeadProbeAt = now + DeadProbeInterval;
  std::vector<Address> dead;
  std::ranges::copy_if(tombstones | std::views::keys, std::back_inserter(dead),
                       [&](const Address &it) {
                         return members.at(it).liveness == Liveness::Dead;
                       });
  if (dead.empty())
    return;
  std::uniform_int_distribution<std::size_t> pick(0, dead.size() - 1);
  out.push_back({dead[pick(random)], Ping{nextSequence++}});
}

void Membership::gossip(TimePoint now, std::vector<OutgoingMessage> &out) {
  if (now < nextGossipAt || gossipQueue.isEmpty())
    return;
  nextGossipAt = now + GossipInterval;
  std::ranges::move(makeGossip(), std::back_inserter(out));
}

std::vector<OutgoingMessage> Membership::makeGossip() {
  std::vector<OutgoingMessage> out;
  for (const Address &peer : pickRandomPeers(GossipFanout, {}))
    out.push_back({peer, Gossip{}});
  return out;
}

void Membership::expireSuspicions(TimePoint now) {
  std::vector<Address> expired;
  for (const auto &[address, deadline] : suspicionDeadlines)
    if (now >= deadline)
      expired.push_back(address);
  for (const Address &address : expired) {
    Member dead = members.at(address);
    dead.liveness = Liveness::Dead;
    store(std::move(dead), true, now);
  }
}

void Membership::expireTombstones(TimePoint now) {
  std::erase_if(tombstones, [&](const auto &entry) {
    if (now - entry.second < TombstoneLifetime)
      return false;
    members.erase(entry.first);
    return true;
  });
}

void Membership::expireRelays(TimePoint now) {
  std::erase_if(relays, [&](const auto &entry) {
    return now - entry.second.sentAt >= RelayLifetime;
  });
}

std::vector<OutgoingMessage> Membership::receive(const Message &message,
                                                 TimePoint now) {
  std::vector<OutgoingMessage> out;
  lastHeardAt = now;
  for (const Member &member : message.members)
    mergeMember(member, true, now);
  for (const LivenessUpdate &update : message.livenessUpdates)
    mergeLivenessUpdate(update, now);
  if (const auto *const ping = std::get_if<Ping>(&message.body))
    out.push_back({message.header.sender, Ack{ping->sequence}});
  else if (const auto *const ack = std::get_if<Ack>(&message.body))
    onAck(*ack, now, out);
  else if (const auto *const request = std::get_if<PingRequest>(&message.body))
    onPingRequest(*request, message.header.sender, now, out);
  return out;
}

void Membership::onAck(const Ack &ack, TimePoint now,
                       std::vector<OutgoingMessage> &out) {
  if (probe && probe->sequence == ack.sequence) {
    if (now - probe->sentAt < scaled(ProbeTimeout) && localHealthScore > 0)
      --localHealthScore;
    probe.reset();
    return;
  }
  const auto it = relays.find(ack.sequence);
  if (it == relays.end())
    return;
  out.push_back({it->second.requester, Ack{it->second.requesterSequence}});
  relays.erase(it);
}

void Membership::onPingRequest(const PingRequest &request,
                               const Address &sender, TimePoint now,
                               std::vector<OutgoingMessage> &out) {
  const std::uint64_t sequence = nextSequence++;
  relays[sequence] = Relay{sender, request.sequence, now};
  out.push_back({request.subject, Ping{sequence}});
}

void Membership::addUpdates(Message &message, const Address &receiver) {
  std::size_t bytesLeft = MaxUpdateBytes;
  // A receiver that is recorded as suspect, dead or left is sent that record,
  // so that it can refute it.
  const auto receiverRecord = members.find(receiver);
  if (receiverRecord != members.end() &&
      receiverRecord->second.liveness != Liveness::Alive) {
    const Member &member = receiverRecord->second;
    message.livenessUpdates.push_back({member.peersAddress, member.generation,
                                       member.incarnation, member.liveness});
    bytesLeft -= LivenessUpdateBytes;
  }
  gossipQueue.drain(presentCount(), [&](const Address &address) {
    const Member *const member = find(address);
    if (member == nullptr)
      return true;
    const bool isAlive = member->liveness == Liveness::Alive;
    const std::size_t size = isAlive
                                 ? encodedSize(*member)
                                 : LivenessUpdateBytes + address.host.size();
    if (size > bytesLeft)
      return false;
    bytesLeft -= size;
    if (isAlive)
      message.members.push_back(*member);
    else
      message.livenessUpdates.push_back(
          {member->peersAddress, member->generation, member->incarnation,
           member->liveness});
    return true;
  });
}

void Membership::setTarget(const Target &target) {
  if (selfMember.target == target)
    return;
  selfMember.target = target;
  ++selfMember.incarnation;
  announceSelf();
}

void Membership::leave() {
  selfMember.liveness = Liveness::Left;
  ++selfMember.incarnation;
  announceSelf();
}

void Membership::merge(const std::vector<Member> &records, bool shouldGossip,
                       TimePoint now) {
  lastHeardAt = now;
  for (const Member &member : records)
    mergeMember(member, shouldGossip, now);
}

void Membership::mergeMember(const Member &member, bool shouldGossip,
                             TimePoint now) {
  if (member.peersAddress == selfMember.peersAddress) {
    if (member.rank() > selfMember.rank())
      refute(member.generation, member.incarnation);
    return;
  }
  const auto it = members.find(member.peersAddress);
  if (it == members.end() || member.rank() > it->second.rank())
    store(member, shouldGossip, now);
}

void Membership::mergeLivenessUpdate(const LivenessUpdate &update,
                                     TimePoint now) {
  if (update.peersAddress == selfMember.peersAddress) {
    if (update.rank() > selfMember.rank())
      refute(update.generation, update.incarnation);
    return;
  }
  const auto it = members.find(update.peersAddress);
  if (it == members.end() || update.rank() <= it->second.rank() ||
      update.generation != it->second.generation)
    return;
  Member updated = it->second;
  updated.incarnation = update.incarnation;
  updated.liveness = update.liveness;
  store(std::move(updated), true, now);
}

void Membership::store(Member member, bool shouldGossip, TimePoint now) {
  const Address address = member.peersAddress;
  MemberChange change{std::nullopt, member};
  if (const auto it = members.find(address); it != members.end())
    change.before = it->second;
  members[address] = std::move(member);
  updatePresence(change.after);
  updateDeadlines(change.after, now);
  if (shouldGossip)
    gossipQueue.enqueue(address);
  changes.push_back(std::move(change));
}

void Membership::refute(std::uint64_t generation, std::uint64_t incarnation) {
  if (selfMember.liveness == Liveness::Left)
    return;
  // Generations are wall clock times. A higher one at this address belongs to a
  // former process that started while the VM's clock was ahead.
  if (generation > selfMember.generation)
    selfMember.generation = generation + 1;
  selfMember.incarnation = std::max(selfMember.incarnation, incarnation) + 1;
  localHealthScore = std::min(localHealthScore + 1, MaxLocalHealthScore);
  announceSelf();
}

void Membership::announceSelf() {
  gossipQueue.enqueue(selfMember.peersAddress);
}

void Membership::updatePresence(const Member &member) {
  const auto it = std::ranges::find(present, member.peersAddress);
  const bool isListed = it != present.end();
  if (member.isPresent() && !isListed) {
    std::uniform_int_distribution<std::size_t> position(0, present.size());
    present.insert(present.begin() +
                       static_cast<std::ptrdiff_t>(position(random)),
                   member.peersAddress);
  }
  if (!member.isPresent() && isListed)
    present.erase(it);
}

void Membership::updateDeadlines(const Member &member, TimePoint now) {
  if (member.liveness == Liveness::Suspect)
    suspicionDeadlines.try_emplace(member.peersAddress,
                                   now + suspicionTimeout());
  else
    suspicionDeadlines.erase(member.peersAddress);
  if (member.isPresent())
    tombstones.erase(member.peersAddress);
  else
    tombstones.try_emplace(member.peersAddress, now);
}

std::optional<Address> Membership::pickRandomPeer() {
  const auto peers = pickRandomPeers(1, {});
  return peers.empty() ? std::nullopt : std::optional(peers.front());
}

std::vector<Address> Membership::pickRandomPeers(std::size_t count,
                                                 const Address &except) {
  std::vector<Address> picked;
  if (present.empty())
    return picked;
  std::uniform_int_distribution<std::size_t> pick(0, present.size() - 1);
  for (std::size_t attempt = 0; attempt < DrawsPerPick * count; ++attempt) {
    const Address &peer = present[pick(random)];
    if (peer != except && std::ranges::find(picked, peer) == picked.end())
      picked.push_back(peer);
    if (picked.size() == count)
      break;
  }
  return picked;
}

BucketDigests Membership::digests() const {
  BucketDigests digests{};
  for (const Member &member : members | std::views::values)
    digests[bucketOf(member.peersAddress)] ^= digestOfMember(member);
  digests[bucketOf(selfMember.peersAddress)] ^= digestOfMember(selfMember);
  return digests;
}

std::vector<Member>
Membership::membersThatDiffer(const BucketDigests &remote) const {
  const BucketDigests local = digests();
  const auto differs = [&](const Member &member) {
    const std::size_t bucket = bucketOf(member.peersAddress);
    return local[bucket] != remote[bucket];
  };
  std::vector<Member> differing;
  std::ranges::copy_if(members | std::views::values,
                       std::back_inserter(differing), differs);
  if (differs(selfMember))
    differing.push_back(selfMember);
  return differing;
}

std::vector<MemberChange> Membership::takeChanges() {
  return std::exchange(changes, {});
}

const Member *Membership::find(const Address &peersAddress) const {
  if (peersAddress == selfMember.peersAddress)
    return &selfMember;
  const auto it = members.find(peersAddress);
  return it == members.end() ? nullptr : &it->second;
}

bool Membership::isIsolated(TimePoint now) const {
  return present.empty() || now - lastHeardAt > 2 * ProbeInterval;
}

Duration Membership::scaled(Duration duration) const {
  return duration * (localHealthScore + 1);
}

Duration Membership::suspicionTimeout() const {
  const double size = static_cast<double>(presentCount());
  const double factor = SuspicionFactor * std::max(1.0, std::log10(size));
  return scaled(std::chrono::duration_cast<Duration>(ProbeInterval * factor));
}

} // namespace plantainhatch
