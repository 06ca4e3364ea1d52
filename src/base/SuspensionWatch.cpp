#include "base/SuspensionWatch.h"

#include <ctime>

namespace plantainhatch {

namespace {

Duration readClock(clockid_t id) {
  timespec time{};
  clock_gettime(id, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

Duration readSuspendedTime() {
  return readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC);
}

} // namespace plantainhatch
