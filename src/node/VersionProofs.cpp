#include "node/VersionProofs.h"

#include "process/Rendezvous.h"

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
  const Question question{peer, services.random(), now};
  open = question;
  services.metrics.add("version_queries_total");
  peers.sendWithoutUpdates(peer, VersionQuery{question.nonce});
  timer.startOnce(TimeLimit, [this] { onTimeout(); });
  return true;
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
              answered.askedAt - std::chrono::milliseconds(proof.ageMs)});
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
