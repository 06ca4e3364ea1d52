/** \file
 * Measures how long the main loop is busy without a look at its sockets. */
#ifndef PLANTAINHATCH_CONNECTION_TURNMONITOR_H
#define PLANTAINHATCH_CONNECTION_TURNMONITOR_H

#include "base/Time.h"

#include <glib.h>

#include <functional>

namespace plantainhatch {

/** Reports the length of each turn of the main loop: the time from one wait for
 * events to the next, in which no connection is accepted and no event handled.
 * Used on the main loop's thread only. */
class TurnMonitor {
public:
  using Listener = std::function<void(Duration turn)>;

  static TurnMonitor &instance();
  TurnMonitor(const TurnMonitor &) = delete;
  TurnMonitor &operator=(const TurnMonitor &) = delete;
  TurnMonitor(TurnMonitor &&) = delete;
  TurnMonitor &operator=(TurnMonitor &&) = delete;

  /** Calls \p newListener at the end of each turn from now on; replaces the
   * previous one. */
  void setListener(Listener newListener) { listener = std::move(newListener); }

private:
  Listener listener;
  /** Zero until the first wait has ended. */
  TimePoint turnStartedAt;

  TurnMonitor();
  ~TurnMonitor() = default;

  static gint poll(GPollFD *descriptors, guint count, gint timeout);
  void endTurn();
};

} // namespace plantainhatch

#endif
