/** \file
 * All timers of a process in the order of their due times. */
#ifndef PLANTAINHATCH_CONNECTION_TIMERQUEUE_H
#define PLANTAINHATCH_CONNECTION_TIMERQUEUE_H

#include "connection/Timer.h"

#include <boost/intrusive/set.hpp>

#include <glib.h>

namespace plantainhatch {

/** One source of the main loop that wakes up for the earliest timer. Used on
 * the main loop's thread only. */
class TimerQueue {
public:
  static TimerQueue &instance();

  /** \pre The timer is not in the queue. */
  void insert(Timer &timer);
  /** \pre The timer is in the queue. */
  void remove(Timer &timer);

private:
  struct DueOf {
    using type = TimePoint;
    const TimePoint &operator()(const Timer &timer) const { return timer.due; }
  };
  using Hook =
      boost::intrusive::member_hook<Timer, boost::intrusive::set_member_hook<>,
                                    &Timer::hook>;
  using Queue =
      boost::intrusive::multiset<Timer, Hook,
                                 boost::intrusive::key_of_value<DueOf>,
                                 boost::intrusive::constant_time_size<false>>;

  Queue queue;
  GSource *source;

  TimerQueue();

  void schedule();
  void runDue();
  static void run(Timer &timer, TimePoint now);
  static gboolean onReady(GSource *source, GSourceFunc callback, gpointer data);
};

} // namespace plantainhatch

#endif
