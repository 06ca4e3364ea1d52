#include "process/Rollout.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace plantainhatch {

std::optional<bool> judgeAttempt(AttemptEnd end, bool isLate, bool mayBeLate) {
  const bool isBad = end == AttemptEnd::Failed || (isLate && !mayBeLate);
  // What was cancelled might still have been answered.
  if (end == AttemptEnd::Cancelled && !isBad)
    return std::nullopt;
  return isBad;
}

Rollout::Rollout(RolloutRule rule, Limits limits, std::uint64_t seed,
                 TimePoint now)
    : current(std::move(rule)), limits(limits), orderedAt(now), heardAt(now),
      askAt(now), random(seed) {
  assert(limits.trialShare >= 0 && limits.trialShare <= 1 &&
         "a share of the calls");
  assert(limits.moveShare >= 0 && limits.moveShare <= 1 &&
         "a part of the duration");
}

void Rollout::order(const RolloutRule &rule, TimePoint now) {
  if (rule.order <= current.order)
    return;
  const bool isAgain = currentPhase == RolloutPhase::Completed &&
                       rule.softwareVersion == current.softwareVersion;
  if (isAgain) {
    current = rule;
    return;
  }
  if (currentPhase != RolloutPhase::Completed)
    blocked.insert(current.softwareVersion);
  if (currentPhase == RolloutPhase::RolledBack)
    rolledBack.insert(current.softwareVersion);
  blocked.erase(rule.softwareVersion);
  rolledBack.erase(rule.softwareVersion);
  current = rule;
  currentPhase = RolloutPhase::Unknown;
  orderedAt = now;
  heardAt = now;
  leaseUntil = {};
  askAt = now;
  pause = FirstPause;
  trials = 0;
  answers.clear();
  former.clear();
}

bool Rollout::onNews(RolloutPhase newPhase, Duration age, TimePoint now) {
  if (newPhase != RolloutPhase::Unknown && newPhase >= currentPhase)
    leaseUntil = now + limits.lease;
  return onHearsay(newPhase, age, now);
}

bool Rollout::onHearsay(RolloutPhase newPhase, Duration age, TimePoint now) {
  orderedAt = std::min(orderedAt, now - age);
  if (newPhase == RolloutPhase::Unknown || newPhase < currentPhase)
    return false;
  heardAt = now;
  const bool isNew = std::exchange(currentPhase, newPhase) != newPhase;
  endedAt = isNew ? now : endedAt;
  if (newPhase == RolloutPhase::Completed)
    proved = current.softwareVersion;
  return isNew;
}

void Rollout::onAnswer(const std::string &rule, bool isOrdered, bool isBad) {
  RolloutCount &count = answers[rule][isOrdered ? 1 : 0];
  count.rule = rule;
  count.isOrdered = isOrdered;
  ++count.answers;
  count.bad += isBad ? 1 : 0;
  if (!isOrdered && std::bernoulli_distribution(limits.trialShare)(random))
    trials = std::min(trials + 1, MaxTrials);
}

bool Rollout::takeQuestion(TimePoint now) {
  if (currentPhase != RolloutPhase::Unknown || now < askAt)
    return false;
  askAt = now + pause;
  pause *= 2;
  return true;
}

bool Rollout::takeTrial(TimePoint now) {
  const bool isAllowed =
      currentPhase == RolloutPhase::Running && hasLease(now) && trials > 0;
  trials -= isAllowed ? 1 : 0;
  return isAllowed;
}

Rollout::Times Rollout::times() const {
  const std::chrono::duration<double> whole = current.duration;
  const std::chrono::duration<double> usual =
      WriteMargin +
      std::max<std::chrono::duration<double>>(MovePart * whole, MinMoveTime);
  // Until the deadline, what has moved counts as calls to a version that may be
  // bad.
  const double factor = std::min(1.0, limits.moveShare * whole / usual);
  const auto before = [&](std::chrono::duration<double> time) {
    return std::max<Duration>(current.duration / 2,
                              current.duration -
                                  std::chrono::duration_cast<Duration>(time));
  };
  return {before(std::max<std::chrono::duration<double>>(factor * usual,
                                                         MinWriteMargin)),
          before(std::max<std::chrono::duration<double>>(factor * WriteMargin,
                                                         MinWriteMargin))};
}

std::vector<RolloutCount> Rollout::takeCounts() {
  const std::size_t ruleCount = std::min(MaxRules, answers.size());
  std::vector<RolloutCount> taken;
  taken.reserve(2 * ruleCount);
  auto next = answers.upper_bound(lastTold);
  for (std::size_t n = 0; n < ruleCount; ++n, ++next) {
    next = next == answers.end() ? answers.begin() : next;
    std::ranges::copy_if(next->second, std::back_inserter(taken),
                         [](const RolloutCount &it) { return it.answers > 0; });
    lastTold = next->first;
  }
  return taken;
}

} // namespace plantainhatch
