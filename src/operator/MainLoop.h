/** \file
 * Waits for results of the main loop, for programs that do one thing at a time.
 */
#ifndef PLANTAINHATCH_OPERATOR_MAINLOOP_H
#define PLANTAINHATCH_OPERATOR_MAINLOOP_H

#include "base/Time.h"
#include "connection/Timer.h"

#include <glib.h>

#include <functional>
#include <memory>
#include <optional>

namespace plantainhatch {

/** Starts an operation that calls back with a T, and runs the main loop until
 * it has. */
template <typename T>
T await(const std::function<void(std::function<void(T)>)> &start) {
  const auto slot = std::make_shared<std::optional<T>>();
  start([slot](T value) { slot->emplace(std::move(value)); });
  while (!slot->has_value())
    g_main_context_iteration(nullptr, TRUE);
  return std::move(slot->value());
}

/** Runs the main loop for a while. */
inline void pause(Duration duration) {
  await<bool>([duration](const std::function<void(bool)> &done) {
    const auto timer = std::make_shared<Timer>();
    timer->startOnce(duration, [timer, done] { done(true); });
  });
}

} // namespace plantainhatch

#endif
