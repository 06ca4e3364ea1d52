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
#include <vector>

namespace plantainhatch {

/** Starts an operation that calls back with a T, and runs the main loop until
 * it has. */
template <typename T>
T await(const std::function<void(std::function<void(T)>)> &start) {
  const auto results = std::make_shared<std::vector<T>>();
  start([results](T value) { results->push_back(std::move(value)); });
  while (results->empty())
    g_main_context_iteration(nullptr, TRUE);
  return std::move(results->front());
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
