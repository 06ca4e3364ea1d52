/** \file
 * Lets the nodes of a failure domain share their questions to the source of
 * versions. */
#ifndef PLANTAINHATCH_NODE_VERSIONPROOFS_H
#define PLANTAINHATCH_NODE_VERSIONPROOFS_H

#include "connection/Timer.h"
#include "node/PeerTask.h"

#include <functional>
#include <optional>

namespace plantainhatch {

/** Asks the node that waits at the source of versions for this failure domain
 * which version is the newest. That node asks the source once for all that ask
 * it at about the same time. Use on the main loop only. */
class VersionProofs {
public:
  /** An answer takes one round trip between nodes, and one to the source. */
  static constexpr std::chrono::milliseconds TimeLimit{100};
  /** A node that has not answered in time is not asked again for this long. */
  static constexpr std::chrono::seconds MuteTime{2};

  /** What another node has found out. */
  struct Result {
    Address peer;
    /** The newest version at \c provedAt. */
    std::uint64_t version = 0;
    /** Not later than the moment at which \c peer asked the source. */
    TimePoint provedAt;
  };
  /** Called with the answer to ask(), or with nothing if there is none in
   * time. */
  using Done = std::function<void(const std::optional<Result> &)>;

  /** \param task names the selection of the node that is asked; see
   * findSelected(). The arguments must outlive this object. */
  VersionProofs(NodeServices &services, PeerTask &peers, std::string task,
                Done done)
      : services(services), peers(peers), task(std::move(task)),
        done(std::move(done)) {}

  /** Asks, unless a question is open. \return false if there is no node to ask,
   * as this one is selected itself, or is in doubt about the fleet, or the
   * selected one has not answered lately. */
  bool ask();

  /** The same for a node of another failure domain, which is asked as the
   * source does not answer this one. \return false if there is none, or a
   * question is open. */
  bool askElsewhere();
  /** True if the latest question went to another failure domain. */
  bool hasAskedElsewhere() const { return isElsewhere; }

  /** Handles an answer. */
  void onAnswer(const Address &sender, const VersionProof &proof);

private:
  struct Question {
    Address peer;
    std::uint64_t nonce = 0;
    TimePoint askedAt;
  };

  NodeServices &services;
  PeerTask &peers;
  std::string task;
  Done done;
  std::optional<Question> open;
  Timer timer;
  Address muted;
  TimePoint mutedUntil;
  bool isElsewhere = false;

  void send(const Address &peer);

  void onTimeout();
};

} // namespace plantainhatch

#endif
