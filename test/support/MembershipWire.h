/** \file
 * Joins a few memberships by an in-memory wire that loses, cuts and freezes. */
#ifndef PLANTAINHATCH_TEST_SUPPORT_MEMBERSHIPWIRE_H
#define PLANTAINHATCH_TEST_SUPPORT_MEMBERSHIPWIRE_H

#include "process/Membership.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <ranges>
#include <vector>

namespace plantainhatch::test {

/** Delivers datagrams at once and in order, but for those that a fault takes.
 */
class MembershipWire {
public:
  explicit MembershipWire(std::size_t size) {
    for (std::size_t n = 0; n < size; ++n) {
      nodes.push_back(makeNode(n, 1));
      if (n > 0)
        join(n);
    }
  }

  unsigned lossPercent = 0;
  std::function<bool(std::size_t from, std::size_t to)> isCut;
  std::function<void(const MemberChange &)> onChange;

  Address address(std::size_t n) const {
    return {"127.0.0.1", static_cast<std::uint16_t>(1000 + n)};
  }
  Membership &member(std::size_t n) { return *nodes[n].membership; }
  TimePoint now() const { return time; }
  void stop(std::size_t n) { nodes[n].isStopped = true; }
  void freeze(std::size_t n) { nodes[n].isStopped = true; }
  void thaw(std::size_t n) { nodes[n].isStopped = false; }

  /** A new process at the same address. */
  void replace(std::size_t n, std::uint64_t generation) {
    nodes[n] = makeNode(n, generation);
    join(n);
  }

  void run(std::chrono::milliseconds duration) {
    runUntil([] { return false; }, duration);
  }

  bool runUntil(const std::function<bool()> &condition,
                std::chrono::milliseconds limit) {
    const TimePoint end = time + limit;
    while (time < end) {
      if (condition())
        return true;
      step();
    }
    return condition();
  }

  bool doAllSee(std::size_t count) {
    return std::ranges::all_of(nodes, [&](const Node &it) {
      return it.isStopped || it.membership->presentCount() == count;
    });
  }

  /** Like doAllSee(), for all but one. */
  bool doOthersSee(std::size_t except, std::size_t count) {
    bool isSeen = true;
    forEachOther(except, [&](const Membership &it) {
      isSeen = isSeen && it.presentCount() == count;
    });
    return isSeen;
  }

  void forEachOther(std::size_t except,
                    const std::function<void(const Membership &)> &visit) {
    for (std::size_t n = 0; n < nodes.size(); ++n)
      if (n != except && !nodes[n].isStopped)
        visit(*nodes[n].membership);
  }

private:
  struct Node {
    std::unique_ptr<Membership> membership;
    bool isStopped = false;
  };

  std::vector<Node> nodes;
  std::mt19937_64 random{99};
  TimePoint time{std::chrono::hours(1)};
  std::size_t steps = 0;

  Node makeNode(std::size_t n, std::uint64_t generation) {
    Member self;
    self.peersAddress = address(n);
    self.callersAddress = {"127.0.0.1", static_cast<std::uint16_t>(2000 + n)};
    self.failureDomain = "d" + std::to_string(n % 4);
    self.generation = generation;
    return {std::make_unique<Membership>(self, n + 1), false};
  }

  static constexpr std::chrono::seconds SyncInterval{10};

  void join(std::size_t n) { sync(n, n == 0 ? 1 : 0); }

  /** Exchanges what differs. */
  void sync(std::size_t n, std::size_t seed) {
    const auto theirs = member(seed).membersThatDiffer(member(n).digests());
    const auto ours = member(n).membersThatDiffer(member(seed).digests());
    member(n).merge(theirs, false, time);
    member(seed).merge(ours, true, time);
  }

  void step() {
    time += Membership::TickInterval;
    ++steps;
    for (std::size_t n = 0; n < nodes.size(); ++n) {
      if (nodes[n].isStopped)
        continue;
      deliver(n, member(n).tick(time));
      takeChanges(n);
      syncInTurn(n);
    }
  }

  void syncInTurn(std::size_t n) {
    constexpr auto Every =
        static_cast<std::size_t>(SyncInterval / Membership::TickInterval);
    if ((steps + n * Every / nodes.size()) % Every != 0)
      return;
    const auto peer = member(n).pickRandomPeer();
    if (!peer)
      return;
    const std::size_t to = peer->port - 1000;
    const bool isCutOff = isCut && (isCut(n, to) || isCut(to, n));
    if (!nodes[to].isStopped && !isCutOff)
      sync(n, to);
  }

  void takeChanges(std::size_t n) {
    for (const MemberChange &change : member(n).takeChanges())
      if (onChange)
        onChange(change);
  }

  void deliver(std::size_t from, const std::vector<OutgoingMessage> &outgoing) {
    for (const OutgoingMessage &it : outgoing) {
      const std::size_t to = it.receiver.port - 1000;
      Message message;
      message.header.sender = address(from);
      message.body = it.body;
      member(from).addUpdates(message, it.receiver);
      const bool isLost = random() % 100 < lossPercent;
      const bool isCutOff = isCut && isCut(from, to);
      if (isLost || isCutOff || nodes[to].isStopped)
        continue;
      deliver(to, member(to).receive(message, time));
      takeChanges(to);
    }
  }
};

} // namespace plantainhatch::test

#endif
