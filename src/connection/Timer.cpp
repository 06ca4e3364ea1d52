#include "connection/Timer.h"

#include <algorithm>

namespace plantainhatch {

void Timer::startOnce(Duration delay, std::function<void()> newAction) {
  start(delay, std::move(newAction), false);
}

void Timer::startRepeating(Duration interval, std::function<void()> newAction) {
  start(interval, std::move(newAction), true);
}

void Timer::stop() {
  if (source != 0)
    g_source_remove(source);
  source = 0;
  // A repeating action may be the caller of this function.
  if (!repeats)
    action = nullptr;
}

void Timer::start(Duration interval, std::function<void()> newAction,
                  bool isRepeating) {
  stop();
  action = std::move(newAction);
  repeats = isRepeating;
  const auto ms =
      std::chrono::ceil<std::chrono::milliseconds>(interval).count();
  source = g_timeout_add(static_cast<guint>(std::max<std::int64_t>(0, ms)),
                         onTimeout, this);
}

gboolean Timer::onTimeout(gpointer data) {
  auto *const self = static_cast<Timer *>(data);
  if (self->repeats) {
    self->action();
    return G_SOURCE_CONTINUE;
  }
  self->source = 0;
  // The action may destroy the timer.
  const auto run = std::move(self->action);
  run();
  return G_SOURCE_REMOVE;
}

} // namespace plantainhatch
