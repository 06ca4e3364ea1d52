#include "connection/TimerQueue.h"

#include <algorithm>
#include <utility>

namespace plantainhatch {

namespace {

constexpr gint64 Never = -1;

/** GLib's monotonic time is that of the steady clock, in microseconds. */
gint64 toReadyTime(TimePoint time) {
  return std::chrono::ceil<std::chrono::microseconds>(time.time_since_epoch())
      .count();
}

} // namespace

TimerQueue &TimerQueue::instance() {
  // Never destroyed, as timers of static objects may stop after it would be.
  static auto &queue = *new TimerQueue;
  return queue;
}

TimerQueue::TimerQueue() {
  static GSourceFuncs functions{nullptr, nullptr, onReady,
                                nullptr, nullptr, nullptr};
  source = g_source_new(&functions, sizeof(GSource));
  g_source_set_ready_time(source, Never);
  g_source_attach(source, nullptr);
}

void TimerQueue::insert(Timer &timer) {
  const auto it = queue.insert(timer);
  if (it == queue.begin())
    schedule();
}

void TimerQueue::remove(Timer &timer) {
  const bool wasFirst = &*queue.begin() == &timer;
  queue.erase(queue.iterator_to(timer));
  if (wasFirst)
    schedule();
}

void TimerQueue::schedule() {
  g_source_set_ready_time(
      source, queue.empty() ? Never : toReadyTime(queue.begin()->due));
}

void TimerQueue::runDue() {
  const TimePoint now = std::chrono::steady_clock::now();
  while (!queue.empty() && queue.begin()->due <= now)
    run(*queue.begin(), now);
  schedule();
}

void TimerQueue::run(Timer &timer, TimePoint now) {
  TimerQueue &self = instance();
  self.queue.erase(self.queue.iterator_to(timer));
  if (timer.interval == Duration{}) {
    // The action may destroy the timer.
    const auto action = std::exchange(timer.action, nullptr);
    action();
    return;
  }
  // Rounds that were missed, as during a pause, are not made up for.
  timer.due = std::max(timer.due + timer.interval, now);
  self.queue.insert(timer);
  timer.action();
}

gboolean TimerQueue::onReady(GSource * /*source*/, GSourceFunc /*callback*/,
                             gpointer /*data*/) {
  instance().runDue();
  return G_SOURCE_CONTINUE;
}

} // namespace plantainhatch
