/** \file
 * Holds the calls of teams to their quotas over the whole fleet. */
#ifndef PLANTAINHATCH_NODE_QUOTATASK_H
#define PLANTAINHATCH_NODE_QUOTATASK_H

#include "base/SuspensionWatch.h"
#include "connection/Timer.h"
#include "node/ConfigurationTask.h"
#include "node/NodeServices.h"
#include "node/PeerTask.h"
#include "process/QuotaKeeper.h"
#include "process/QuotaPocket.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace plantainhatch {

/** What becomes of a call by the quota of its team. */
struct QuotaDecision {
  enum class Kind : std::uint8_t {
    Granted,
    /** The team has used up its quota. */
    Over,
    /** No keeper has answered. */
    Unknown
  };
  Kind kind = Kind::Unknown;
  /** Set with Kind::Granted; empty if the team has no quota. */
  std::optional<QuotaToken> token;
  /** When a call that comes again is likely to be granted. */
  std::chrono::milliseconds wait{0};
};

/** Gets tokens for the calls of teams from the nodes that keep their quotas,
 * and keeps those of some teams itself. The teams are divided into groups, each
 * with a keeper of its own, chosen by rendezvous hashing. Nothing rests on that
 * choice: see QuotaPledge and QuotaKeeper. Use on the main loop only. */
class QuotaTask {
public:
  /** Groups of teams, so that the loss of a keeper touches few of them. */
  static constexpr std::size_t Groups = 8;
  /** How long a call waits for an answer of a keeper. */
  static constexpr std::chrono::milliseconds MaxWait{600};
  /** A question that is not answered for this long is asked again. */
  static constexpr std::chrono::milliseconds QueryLimit{40};
  /** A keeper that leaves as many questions in a row unanswered is passed over
   * for MuteTime. */
  static constexpr unsigned SilentQuestions = 3;
  static constexpr std::chrono::seconds MuteTime{1};
  /** Interval at which tokens are asked for, and calls stop waiting. */
  static constexpr std::chrono::milliseconds TickInterval{25};
  /** Interval at which a keeper asks for pledges. */
  static constexpr std::chrono::milliseconds PledgeInterval{250};
  /** The same while it has less than half of the quotas. */
  static constexpr std::chrono::milliseconds EagerPledgeInterval{100};
  /** A team that is over its quota is turned away without a question for no
   * longer than this. */
  static constexpr std::chrono::milliseconds MaxOverTime{250};

  using Done = std::function<void(const QuotaDecision &)>;

  /** The arguments must outlive this object. */
  QuotaTask(NodeServices &services, PeerTask &peers,
            ConfigurationTask &configuration);

  /** Takes a token for a call of \p team. \p done is called once, at once or
   * within MaxWait. */
  void take(const TeamRule &team, Done done);
  /** A call that has taken \p token was refused before it was sent. */
  void giveBack(const std::string &team, const QuotaToken &token);
  /** Lets go of what this node keeps, so that another keeper has it when this
   * process ends. Tokens are granted as long as the pledges last. */
  void stop() { isStopping = true; }
  /** Handles messages about quotas; ignores others. */
  void onMessage(const Message &message);

private:
  struct Waiter {
    TimePoint arrivedAt;
    Done done;
  };
  /** A team with a quota, as the calls of this node see it. */
  struct Team {
    QuotaPocket pocket;
    std::deque<Waiter> waiters;
    /** Set while the team is known to be over its quota. */
    TimePoint overUntil;
    std::chrono::milliseconds wait{0};
  };
  /** A question for tokens that is open. */
  struct Question {
    std::uint64_t sequence = 0;
    Address keeper;
    TimePoint askedAt;
  };
  struct Group {
    QuotaPledge pledge;
    QuotaKeeper keeper;
    Question question;
    TimePoint pledgesAskedAt;
    /** The last question of each node, so that late ones are dropped. */
    std::map<Address, std::pair<std::uint64_t, std::uint64_t>> lastQuestions;
  };
  /** A question for pledges. */
  struct PledgeQuestion {
    std::uint64_t nonce = 0;
    TimePoint askedAt;
  };

  NodeServices &services;
  PeerTask &peers;
  ConfigurationTask &configuration;
  QuotaParts parts;
  std::vector<Group> groups;
  std::map<std::uint64_t, Team> teams;
  /** Keepers that have not answered, and until when they are passed over. */
  std::map<Address, TimePoint> muted;
  std::map<Address, unsigned> silentQuestions;
  std::deque<PledgeQuestion> pledgeQuestions;
  std::uint64_t nextSequence = 1;
  SuspensionWatch suspensions;
  TimePoint lastTickAt;
  bool hasQuotas = false;
  bool isStopping = false;
  Timer timer;

  void tick();
  /** Drops what rests on the clock if the VM was suspended. */
  void checkClock();
  void countNodes(TimePoint now);
  void setLimits();
  /** The node to ask for tokens of \p group. */
  Address keeperOf(std::size_t group, TimePoint now) const;
  bool hasLeft(const Address &node) const;
  /** The live node that is to keep \p group, but for those that \p isMuted. */
  template <typename Predicate>
  Address selectKeeper(std::size_t group, Predicate isMuted) const;
  bool isKeeper(std::size_t group, TimePoint now) const;
  void askForPledges(TimePoint now);
  void askForTokens(std::size_t group, TimePoint now);
  void expireQuestion(std::size_t group, TimePoint now);
  void expireWaiters(TimePoint now);
  void onPledgeQuery(const Address &sender, const QuotaPledgeQuery &query);
  void onPledgeAnswer(const Address &sender, const QuotaPledgeAnswer &answer);
  void onQuery(const MessageHeader &header, const QuotaQuery &query);
  QuotaAnswer answerQuery(const Address &sender, const QuotaQuery &query,
                          TimePoint now);
  void onAnswer(const Address &sender, const QuotaAnswer &answer);
  void onAllotment(const QuotaAllotment &allotment, TimePoint askedAt,
                   TimePoint now);
  void finish(const Waiter &waiter, const QuotaDecision &decision);
};

} // namespace plantainhatch

#endif
