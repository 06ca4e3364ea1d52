#include "connection/Timer.h"

#include "connection/TimerQueue.h"

namespace plantainhatch {

void Timer::startOnce(Duration delay, std::function<void()> newAction) {
  stop();
  interval = Duration{};
  action = std::move(newAction);
  due = std::chrono::steady_clock::now() + delay;
  TimerQueue::instance().insert(*this);
}

void Timer::startRepeating(Duration newInterval,
                           std::function<void()> newAction) {
  startOnce(newInterval, std::move(newAction));
  interval = newInterval;
}

void Timer::stop() {
  if (hook.is_linked())
    TimerQueue::instance().remove(*this);
  // A repeating action may be the caller of this function.
  if (interval == Duration{})
    action = nullptr;
}

} // namespace plantainhatch
