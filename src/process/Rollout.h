/** \file
 * What one node knows of the roll-out of one service. */
#ifndef PLANTAINHATCH_PROCESS_ROLLOUT_H
#define PLANTAINHATCH_PROCESS_ROLLOUT_H

#include "base/Time.h"
#include "process/RolloutPhase.h"
#include "version/Rule.h"

#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace plantainhatch {

/** How an attempt at a target ended. */
enum class AttemptEnd : std::uint8_t { Answered, Failed, Cancelled };

/** True if an attempt speaks against the target's version; nothing if it shows
 * nothing. \param isLate true if it took longer than the rule's target latency.
 * \param mayBeLate true for a target that is slow whatever its version. */
std::optional<bool> judgeAttempt(AttemptEnd end, bool isLate, bool mayBeLate);

/** The orders to move a service to another version of its software, as one
 * process has heard of them: which versions may get calls, how many calls the
 * ordered one may get, and how the answers were. Only the latest order is in
 * progress. Has no clock and sends nothing. Not thread-safe. */
class Rollout {
public:
  /** How much of its calls a node may try out, and for how long it may after
   * it has heard that the roll-out goes on. */
  struct Limits {
    /** Calls to the ordered version, as a share of the answers of others. */
    double trialShare = 0;
    std::chrono::milliseconds lease{0};
    /** Last part of an order's duration in which all calls may go to the
     * ordered version. */
    double moveShare = 0;
  };
  /** Times after the order. */
  struct Times {
    /** When all calls begin to move. */
    Duration move{};
    /** When the completion is to be written. */
    Duration write{};
  };
  /** Rules whose sums are told at a time, so that a message is bounded. */
  static constexpr std::size_t MaxRules = 12;
  /** Trials that may be saved up while there is no call or no target. */
  static constexpr unsigned MaxTrials = 2;
  /** After this long without news, a service that has no targets but those of
   * the ordered version is served by these. */
  static constexpr std::chrono::milliseconds MaxSilence{3'000};
  /** Time from the move until the completion is written, as a part of the
   * duration, and at least. Calls at former targets end meanwhile. */
  static constexpr double MovePart = 0.02;
  static constexpr std::chrono::milliseconds MinMoveTime{250};
  /** The completion is written this long before the deadline, */
  static constexpr std::chrono::milliseconds WriteMargin{400};
  /** and no less if the order is short. */
  static constexpr std::chrono::milliseconds MinWriteMargin{100};
  /** Pause after the first question how far the roll-out is. Each later one is
   * twice as long. */
  static constexpr std::chrono::milliseconds FirstPause{50};
  /** How long after the end former targets are still about to stop. */
  static constexpr std::chrono::seconds FormerTime{10};

  /** \pre The shares of \p limits are from 0 to 1. */
  Rollout(RolloutRule rule, Limits limits, std::uint64_t seed, TimePoint now);

  /** Begins a later order. The version of an order that was not completed gets
   * no calls any more, until it is ordered again. Has no effect for an order
   * that is not later. */
  void order(const RolloutRule &rule, TimePoint now);

  /** Takes over what the deciding node says of the order in progress, unless
   * more is known. \param age time since the order, as that node knows it.
   * \return true if the phase has changed. */
  bool onNews(RolloutPhase newPhase, Duration age, TimePoint now);

  /** The same for what a node says that does not decide, and may have heard
   * long ago: no trials are allowed by it. */
  bool onHearsay(RolloutPhase newPhase, Duration age, TimePoint now);

  /** Counts an answer. That of a former version may allow a trial. */
  void onAnswer(const std::string &rule, bool isOrdered, bool isBad);

  /** Uses up a trial. \return false if none may be made now. */
  bool takeTrial(TimePoint now);

  /** True if the deciding nodes should be asked now how far the roll-out is,
   * since nothing is known: at once, and then after growing pauses. */
  bool takeQuestion(TimePoint now);

  /** Remembers that this version served before the roll-out is completed. */
  void noteFormer(const std::string &softwareVersion) {
    former.insert(softwareVersion);
  }

  /** Remembers what a call found at its first try, as later tries do not see
   * all targets. \param unblocked true for targets of other versions than the
   * ordered one and those that isBlocked() names. \param others true for
   * targets of any other version. */
  void noteTargets(bool unblocked, bool others) {
    hasUnblocked = unblocked;
    hasOthers = others;
  }
  bool hasUnblockedTargets() const { return hasUnblocked; }
  bool hasOtherTargets() const { return hasOthers; }

  const RolloutRule &rule() const { return current; }
  RolloutPhase phase() const { return currentPhase; }
  /** True if nothing more will be decided about the order. */
  bool isOver() const { return currentPhase >= RolloutPhase::RolledBack; }
  bool isFormer(const std::string &softwareVersion) const {
    return former.contains(softwareVersion);
  }
  /** True for the versions of earlier orders that were not completed. */
  bool isBlocked(const std::string &softwareVersion) const {
    return blocked.contains(softwareVersion);
  }
  /** True for those of them that were rolled back, for certain. */
  bool isRolledBack(const std::string &softwareVersion) const {
    return rolledBack.contains(softwareVersion);
  }
  /** True if the ordered version was the last one that an order was completed
   * with, so that the service may run with nothing else. */
  bool isProved() const { return proved == current.softwareVersion; }
  /** True if it ended long ago. Targets of former versions that appear since
   * are no rest of the roll-out, but replace others. */
  bool isLongOver(TimePoint now) const {
    return isOver() && now - endedAt >= FormerTime;
  }
  /** True if what was heard lately allows calls to the ordered version. */
  bool hasLease(TimePoint now) const { return now <= leaseUntil; }
  double trialShare() const { return limits.trialShare; }
  /** True if there was no news for MaxSilence. */
  bool isSilent(TimePoint now) const { return now - heardAt >= MaxSilence; }
  Times times() const;
  /** Time since the order became known to any node that was heard. */
  Duration age(TimePoint now) const { return now - orderedAt; }
  /** The answers since the order to the calls of MaxRules rules at most, and
   * those of the next ones at the next call. Both versions' answers to a rule
   * come together, as they are compared. */
  std::vector<RolloutCount> takeCounts();

private:
  RolloutRule current;
  Limits limits;
  RolloutPhase currentPhase = RolloutPhase::Unknown;
  TimePoint orderedAt;
  /** When the latest news came, or the order if there was none. */
  TimePoint heardAt;
  TimePoint leaseUntil;
  TimePoint endedAt;
  TimePoint askAt;
  Duration pause = FirstPause;
  bool hasUnblocked = true;
  bool hasOthers = true;
  unsigned trials = 0;
  std::mt19937_64 random;
  /** By rule; the second is of the ordered version. */
  std::map<std::string, std::array<RolloutCount, 2>> answers;
  std::string lastTold;
  std::set<std::string> former;
  std::set<std::string> blocked;
  std::set<std::string> rolledBack;
  std::optional<std::string> proved;
};

} // namespace plantainhatch

#endif
