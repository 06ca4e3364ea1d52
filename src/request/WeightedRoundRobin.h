/** \file
 * Smooth weighted round robin. */
#ifndef PLANTAINHATCH_REQUEST_WEIGHTEDROUNDROBIN_H
#define PLANTAINHATCH_REQUEST_WEIGHTEDROUNDROBIN_H

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

namespace plantainhatch {

/** Smooth weighted round robin: in each cycle, whose length is the sum of the
 * weights, every entry is selected as often as its weight says, spread evenly
 * over the cycle. The cycle restarts when the weights change. Not thread-safe.
 */
class WeightedRoundRobin {
public:
  /** The index of the next entry of \p newWeights. \pre At least one weight is
   * above zero. */
  std::size_t next(std::span<const unsigned> newWeights) {
    if (!std::ranges::equal(newWeights, weights)) {
      weights.assign(newWeights.begin(), newWeights.end());
      credits.assign(weights.size(), 0);
    }
    std::int64_t sum = 0;
    for (std::size_t n = 0; n < weights.size(); ++n) {
      credits[n] += weights[n];
      sum += weights[n];
    }
    const auto it = std::ranges::max_element(credits);
    *it -= sum;
    return static_cast<std::size_t>(it - credits.begin());
  }

private:
  std::vector<unsigned> weights;
  std::vector<std::int64_t> credits;
};

} // namespace plantainhatch

#endif
