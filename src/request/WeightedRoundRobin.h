/** \file
 * Deals calls to weighted parts so that each part's share is held exactly. */
#ifndef PLANTAINHATCH_REQUEST_WEIGHTEDROUNDROBIN_H
#define PLANTAINHATCH_REQUEST_WEIGHTEDROUNDROBIN_H

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

namespace plantainhatch {

/** Smooth weighted round robin: after as many turns as the weights sum up to,
 * each part has had as many as its weight, spread evenly. It starts anew when
 * the weights change. Not thread-safe. */
class WeightedRoundRobin {
public:
  /** The part whose turn it is. \pre At least one weight is above zero. */
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
