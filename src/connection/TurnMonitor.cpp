#include "connection/TurnMonitor.h"

namespace plantainhatch {

TurnMonitor &TurnMonitor::instance() {
  // Never destroyed, as the main loop may run once more after it would be.
  static auto &monitor = *new TurnMonitor;
  return monitor;
}

TurnMonitor::TurnMonitor() { g_main_context_set_poll_func(nullptr, poll); }

gint TurnMonitor::poll(GPollFD *descriptors, guint count, gint timeout) {
  instance().endTurn();
  const gint n = g_poll(descriptors, count, timeout);
  instance().turnStartedAt = std::chrono::steady_clock::now();
  return n;
}

void TurnMonitor::endTurn() {
  if (listener && turnStartedAt != TimePoint{})
    listener(std::chrono::steady_clock::now() - turnStartedAt);
}

} // namespace plantainhatch
