#include "request/LatencyWindow.h"

#include <algorithm>
#include <vector>

namespace plantainhatch {

namespace {

/** Number of new samples after which the percentile is recomputed. */
constexpr std::size_t RecomputeEvery = 32;
constexpr std::size_t Percent = 100;
constexpr std::size_t Percentile = 95;

} // namespace

void LatencyWindow::record(Duration latency) {
  samples.at(count % Size) = latency;
  ++count;
}

std::optional<Duration> LatencyWindow::p95() {
  if (count < MinSamples)
    return std::nullopt;
  if (computed && count - countAtCompute < RecomputeEvery)
    return computed;
  const std::size_t n = std::min(count, Size);
  std::vector<Duration> sorted(
      samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(n));
  const auto it =
      sorted.begin() + static_cast<std::ptrdiff_t>(n * Percentile / Percent);
  std::ranges::nth_element(sorted, it);
  computed = *it;
  countAtCompute = count;
  return computed;
}

} // namespace plantainhatch
