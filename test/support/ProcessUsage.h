/** \file
 * Processor time and memory of a process that a test has started. */
#ifndef PLANTAINHATCH_TEST_SUPPORT_PROCESSUSAGE_H
#define PLANTAINHATCH_TEST_SUPPORT_PROCESSUSAGE_H

#include <chrono>
#include <cstdint>

namespace plantainhatch::test {

/** A reading at one moment. */
class ProcessUsage {
public:
  explicit ProcessUsage(int processId);

  /** Processor time since its start, of all its threads. */
  std::chrono::nanoseconds cpu() const { return cpuTime; }
  /** Resident memory at the moment, in KiB. */
  std::uint64_t residentKib() const { return resident; }
  /** The most that was resident, in KiB. */
  std::uint64_t peakResidentKib() const { return peak; }

private:
  std::chrono::nanoseconds cpuTime{0};
  std::uint64_t resident = 0;
  std::uint64_t peak = 0;
};

} // namespace plantainhatch::test

#endif
