#include "request/narrowToRollout.h"

#include "base/Digest.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace plantainhatch {

namespace {

/** True for a target that a trial may go to. Without room there it would count
 * as if no target of the service had any. */
bool mayTryOut(const Candidate &candidate) {
  return candidate.isOrdered && !candidate.isSaturated();
}

bool isOther(const Candidate &candidate) { return !candidate.isOrdered; }

template <typename Predicate>
void keep(std::vector<Candidate> &candidates, Predicate mayStay) {
  std::erase_if(candidates, std::not_fn(mayStay));
}

/** Leaves the few targets of the ordered version that all nodes try out. */
void keepTrialTargets(std::vector<Candidate> &candidates,
                      const Rollout &rollout) {
  const std::ptrdiff_t otherCount = std::ranges::count_if(candidates, isOther);
  const std::ptrdiff_t orderedCount = std::ssize(candidates) - otherCount;
  keep(candidates, mayTryOut);
  const auto isWarm = [](const Candidate &it) {
    return !it.load.isCold && !it.isSuspect;
  };
  // Cold targets bear few calls each.
  if (std::ranges::none_of(candidates, isWarm))
    return;
  keep(candidates, isWarm);
  const std::string task = std::to_string(rollout.rule().order);
  std::ranges::sort(candidates, {}, [&](const Candidate &it) {
    return stableHash(it.peersAddress.toString() + "/" + task);
  });
  // As many as get about the calls of after the move each, so that faults under
  // load show before, but about twice the usual ones at most.
  const auto usual = std::max(orderedCount, otherCount / 2);
  const auto count = static_cast<std::size_t>(
      std::lround(static_cast<double>(usual) * rollout.trialShare()));
  candidates.resize(
      std::min(candidates.size(), std::max<std::size_t>(1, count)));
}

void narrowWhileRunning(std::vector<Candidate> &candidates, Rollout &rollout,
                        bool isRepeat, TimePoint now) {
  if (!rollout.hasOtherTargets())
    return;
  const bool isTrial = !isRepeat &&
                       std::ranges::any_of(candidates, mayTryOut) &&
                       rollout.takeTrial(now);
  if (isTrial)
    keepTrialTargets(candidates, rollout);
  else
    keep(candidates, isOther);
}

/** All calls go to the ordered version as long as it has room, and what it
 * refuses goes to the others. Without news, nobody may judge it. */
void narrowWhileMoving(std::vector<Candidate> &candidates,
                       const Rollout &rollout, bool isRepeat, TimePoint now) {
  if (!rollout.hasLease(now) && std::ranges::any_of(candidates, isOther)) {
    keep(candidates, isOther);
    return;
  }
  const auto isFree = [](const Candidate &it) {
    return it.isOrdered && it.utilization() < 1 && !it.isSuspect;
  };
  if (!isRepeat && std::ranges::any_of(candidates, isFree))
    keep(candidates, isFree);
}

/** Former targets that have not ended serve what the others cannot take. */
void narrowWhileEnding(std::vector<Candidate> &candidates,
                       const Rollout &rollout) {
  const auto isFormer = [&](const Candidate &it) {
    return rollout.isFormer(it.softwareVersion);
  };
  const auto isFull = [](const Candidate &it) {
    return it.load.limit > 0 && it.utilization() >= 1;
  };
  if (std::ranges::any_of(candidates, [&](const Candidate &it) {
        return !isFormer(it) && !isFull(it);
      }))
    std::erase_if(candidates, isFormer);
}

} // namespace

void narrowToRollout(std::vector<Candidate> &candidates, Rollout &rollout,
                     bool isRepeat, TimePoint now) {
  const std::string &orderedVersion = rollout.rule().softwareVersion;
  for (Candidate &it : candidates) {
    it.isOrdered = it.softwareVersion == orderedVersion;
    if (!it.isOrdered && rollout.phase() != RolloutPhase::Completed &&
        rollout.phase() != RolloutPhase::RolledBack)
      rollout.noteFormer(it.softwareVersion);
  }
  const auto isBlocked = [&](const Candidate &it) {
    return rollout.isBlocked(it.softwareVersion);
  };
  std::erase_if(candidates, [&](const Candidate &it) {
    return rollout.isRolledBack(it.softwareVersion);
  });
  if (!isRepeat)
    rollout.noteTargets(std::ranges::any_of(candidates,
                                            [&](const Candidate &it) {
                                              return isOther(it) &&
                                                     !isBlocked(it);
                                            }),
                        std::ranges::any_of(candidates, isOther));
  // One whose end is not known here may be what the service runs with.
  if (rollout.hasUnblockedTargets())
    std::erase_if(candidates, isBlocked);
  switch (rollout.phase()) {
  case RolloutPhase::Unknown:
    if (rollout.hasOtherTargets() ||
        (!rollout.isProved() && !rollout.isSilent(now)))
      keep(candidates, isOther);
    break;
  case RolloutPhase::Running:
    narrowWhileRunning(candidates, rollout, isRepeat, now);
    break;
  case RolloutPhase::Moving:
    narrowWhileMoving(candidates, rollout, isRepeat, now);
    break;
  case RolloutPhase::RolledBack:
    keep(candidates, isOther);
    break;
  case RolloutPhase::Completed:
    if (!rollout.isLongOver(now))
      narrowWhileEnding(candidates, rollout);
    break;
  }
}

} // namespace plantainhatch
