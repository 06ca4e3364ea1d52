#include "support/ProcessUsage.h"

#include <fstream>
#include <string>

#include <ctime>
#include <sys/types.h>

namespace plantainhatch::test {

ProcessUsage::ProcessUsage(int processId) {
  clockid_t clock{};
  timespec time{};
  if (clock_getcpuclockid(processId, &clock) == 0 &&
      clock_gettime(clock, &time) == 0)
    cpuTime = std::chrono::seconds(time.tv_sec) +
              std::chrono::nanoseconds(time.tv_nsec);
  std::ifstream status("/proc/" + std::to_string(processId) + "/status");
  std::string word;
  while (status >> word) {
    if (word == "VmHWM:")
      status >> peak;
    else if (word == "VmRSS:")
      status >> resident;
  }
}

} // namespace plantainhatch::test
