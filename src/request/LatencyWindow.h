/** \file
 * The 95th percentile of the most recent latencies of a service. */
#ifndef PLANTAINHATCH_REQUEST_LATENCYWINDOW_H
#define PLANTAINHATCH_REQUEST_LATENCYWINDOW_H

#include "base/Time.h"

#include <array>
#include <optional>

namespace plantainhatch {

/** Ring buffer of the most recent samples. Not thread-safe. */
class LatencyWindow {
public:
  /** Capacity in samples. */
  static constexpr std::size_t Size = 256;
  /** Number of samples below which p95() returns nullopt. */
  static constexpr std::size_t MinSamples = 32;

  void record(Duration latency);
  /** The 95th percentile, or nullopt while there are fewer than MinSamples. It
   * is cached and recomputed every few samples. */
  std::optional<Duration> p95();

private:
  std::array<Duration, Size> samples{};
  std::size_t count = 0;
  std::size_t countAtCompute = 0;
  std::optional<Duration> computed;
};

} // namespace plantainhatch

#endif
