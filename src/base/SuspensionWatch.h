/** \file
 * Notices that the VM was suspended, which the steady clock does not count. */
#ifndef PLANTAINHATCH_BASE_SUSPENSIONWATCH_H
#define PLANTAINHATCH_BASE_SUSPENSIONWATCH_H

#include "base/Time.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace plantainhatch {

/** The time since the start of the VM that the steady clock has not counted.
 * Thread-safe. */
Duration readSuspendedTime();

/** Compares readings of readSuspendedTime(). Not thread-safe. */
class SuspensionWatch {
public:
  /** How much longer the VM has been suspended since the last call; zero at the
   * first. \param suspended a reading, which is too low if the process was
   * interrupted within it. */
  Duration advance(Duration suspended) {
    const Duration before = highest.value_or(suspended);
    highest = std::max(before, suspended);
    return *highest - before;
  }

private:
  std::optional<Duration> highest;
};

} // namespace plantainhatch

#endif
