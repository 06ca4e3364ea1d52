/** \file
 * Quantiles of the newest latencies of a service. */
#ifndef PLANTAINHATCH_REQUEST_LATENCYWINDOW_H
#define PLANTAINHATCH_REQUEST_LATENCYWINDOW_H

#include "base/Time.h"

#include <array>
#include <optional>

namespace plantainhatch {

/** A ring of the newest samples. Not thread-safe. */
class LatencyWindow {
public:
  static constexpr std::size_t Size = 256;
  /** Fewer samples than this give no quantile. */
  static constexpr std::size_t MinSamples = 32;

  void record(Duration latency);
  /** The 95th percentile, recomputed every few samples; nothing while there are
   * too few. */
  std::optional<Duration> p95();

private:
  std::array<Duration, Size> samples{};
  std::size_t count = 0;
  std::size_t countAtCompute = 0;
  std::optional<Duration> computed;
};

} // namespace plantainhatch

#endif
