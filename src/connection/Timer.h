/** \file
 * Timers on the main loop. */
#ifndef PLANTAINHATCH_CONNECTION_TIMER_H
#define PLANTAINHATCH_CONNECTION_TIMER_H

#include "base/Time.h"

#include <glib.h>

#include <functional>

namespace plantainhatch {

/** A timer that stops when it is destroyed. Used on the main loop's thread
 * only. */
class Timer {
public:
  Timer() = default;
  ~Timer() { stop(); }
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;
  Timer(Timer &&) = delete;
  Timer &operator=(Timer &&) = delete;

  /** Calls \p action once after \p delay. Replaces what was set before. */
  void startOnce(Duration delay, std::function<void()> action);
  /** Calls \p action each \p interval. Replaces what was set before. */
  void startRepeating(Duration interval, std::function<void()> action);
  /** Forgets the action. */
  void stop();
  bool isRunning() const { return source != 0; }

private:
  guint source = 0;
  bool repeats = false;
  std::function<void()> action;

  void start(Duration interval, std::function<void()> newAction,
             bool isRepeating);
  static gboolean onTimeout(gpointer data);
};

} // namespace plantainhatch

#endif
