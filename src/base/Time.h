/** \file
 * The clocks that the decisions use, and units that std::chrono has no short
 * name for. */
#ifndef PLANTAINHATCH_BASE_TIME_H
#define PLANTAINHATCH_BASE_TIME_H

#include <chrono>

namespace plantainhatch {

/** A point on the monotonic clock. Decision logic receives it as an argument
 * and never reads a clock itself. */
using TimePoint = std::chrono::steady_clock::time_point;

/** A span on the monotonic clock. */
using Duration = std::chrono::steady_clock::duration;

/** A point on the wall clock in milliseconds, used only for hybrid timestamps
 * and display. */
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

} // namespace plantainhatch

#endif
