/** \file
 * Timers on the main loop. */
#ifndef PLANTAINHATCH_CONNECTION_TIMER_H
#define PLANTAINHATCH_CONNECTION_TIMER_H

#include "base/Time.h"

#include <boost/intrusive/set_hook.hpp>

#include <functional>

namespace plantainhatch {

/** A timer that stops when it is destroyed. All timers of a process share one
 * source of the main loop, whose cost grows with its sources. Used on the main
 * loop's thread only. */
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
  bool isRunning() const { return hook.is_linked(); }

private:
  friend class TimerQueue;

  /** Links the timer into the queue, by its due time. */
  boost::intrusive::set_member_hook<> hook;
  TimePoint due;
  /** Zero for a timer that runs once. */
  Duration interval{};
  std::function<void()> action;
};

} // namespace plantainhatch

#endif
