#include "node/FreshnessCheck.h"

#include <algorithm>
#include <utility>

namespace plantainhatch {

void FreshnessCheck::run(TimePoint now, std::size_t nodes, bool mayWait,
                         Done done) {
  if (isNewestFor(now)) {
    done(true);
    return;
  }
  if (!askOnce(now, nodes) || !mayWait) {
    done(false);
    return;
  }
  waiters.push_back({now, std::move(done)});
  if (!timer.isRunning())
    startTimer();
}

void FreshnessCheck::onConfirmed() {
  isAsking = false;
  // A waiter may start another check.
  std::deque<Waiter> remaining;
  for (Waiter &it : std::exchange(waiters, {}))
    if (isNewestFor(it.arrivedAt))
      it.done(true);
    else
      remaining.push_back(std::move(it));
  std::ranges::move(waiters, std::back_inserter(remaining));
  waiters = std::move(remaining);
  startTimer();
}

void FreshnessCheck::onNotConfirmed() {
  isAsking = false;
  timer.stop();
  for (const Waiter &it : std::exchange(waiters, {}))
    it.done(false);
}

bool FreshnessCheck::isNewestFor(TimePoint arrivedAt) const {
  const auto confirmedAt = guard.confirmedAt();
  return confirmedAt && *confirmedAt >= arrivedAt - MaxAge;
}

bool FreshnessCheck::askOnce(TimePoint now, std::size_t nodes) {
  if (isAsking && now - askedAt < MaxAge)
    return true;
  budget.setRateAndCapacity(RequestsPerSecond / static_cast<double>(nodes),
                            Burst);
  if (!budget.tryTake(1, now) || !ask())
    return false;
  isAsking = true;
  askedAt = now;
  return true;
}

void FreshnessCheck::startTimer() {
  if (waiters.empty()) {
    timer.stop();
    return;
  }
  const TimePoint due = waiters.front().arrivedAt + TimeLimit;
  timer.startOnce(std::max(due - std::chrono::steady_clock::now(), Duration()),
                  [this] { expire(); });
}

void FreshnessCheck::expire() {
  const TimePoint now = std::chrono::steady_clock::now();
  while (!waiters.empty() && now - waiters.front().arrivedAt >= TimeLimit) {
    const Waiter expired = std::move(waiters.front());
    waiters.pop_front();
    expired.done(false);
  }
  startTimer();
}

} // namespace plantainhatch
