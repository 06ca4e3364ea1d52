#include "node/VersionProofs.h"

#include "process/ProofAge.h"
#include "process/Rendezvous.h"

#include <algorithm>

namespace plantainhatch {

bool VersionProofs::ask() {
  if (open)
    return true;
  const TimePoint now = NodeServices::now();
  const Address peer = findSelected(peers.membership(), task);
  const bool isMuted = peer == muted && now < mutedUntil;
  if (peer == services.settings.peers || isMuted ||
      peers.membership().isInDoubt())
    return false;
  isElsewhere = false;
  send(peer);
  return true;
}

bool VersionProofs::askElsewhere() {
  // Those that are likely to wait at the source for their failure domains.
  constexpr std::size_t Choices = 3;
  if (open)
    return false;
  std::vector<Address> nodes = findSpread(peers.membership(), task, Choices);
  const TimePoint now = NodeServices::now();
  std::erase_if(nodes, [&](const Address &it) {
    return it == muted && now < mutedUntil;
  });
  if (nodes.empty())
    return false;
  std::uniform_int_distribution<std::size_t> any(0, nodes.size() - 1);
  isElsewhere = true;
  send(nodes[any(services.random)]);
  return true;
}

void VersionProofs::send(const Address &peer) {
  open = Question{peer, services.random(), NodeServices::now()};
  services.metrics.add("version_queries_total");
  peers.sendWithoutUpdates(peer, VersionQuery{open->nonce});
  timer.startOnce(TimeLimit, [this] { onTimeout(); });
}

void VersionProofs::onAnswer(const Address &sender, const VersionProof &proof) {
  if (!open || open->nonce != proof.nonce || open->peer != sender)
    return;
  const Question answered = *open;
  open.reset();
  timer.stop();
  // The proof was at most this old when the question reached its sender, which
  // was after the question was sent.
  done(Result{sender, proof.version,
              proofAge::fromMessage(answered.askedAt, proof.ageMs)});
}

void VersionProofs::onTimeout() {
  if (!open)
    return;
  muted = open->peer;
  mutedUntil = NodeServices::now() + MuteTime;
  open.reset();
  services.metrics.add("version_queries_unanswered_total");
  done(std::nullopt);
}

} // namespace plantainhatch
