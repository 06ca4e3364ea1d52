/** \file
 * Pick policy "least-in-flight", a baseline: the fewest calls in flight. */
#ifndef PLANTAINHATCH_REQUEST_LEASTINFLIGHTPOLICY_H
#define PLANTAINHATCH_REQUEST_LEASTINFLIGHTPOLICY_H

#include "request/Candidate.h"

#include <algorithm>
#include <random>
#include <span>

namespace plantainhatch {

/** Picks the target with the fewest calls in flight as estimated by this node;
 * ties are broken in round-robin order. Not thread-safe. */
class LeastInFlightPolicy {
public:
  /** The index of the picked target. \pre \p candidates is not empty. */
  std::size_t pick(std::span<const Candidate> candidates,
                   std::mt19937_64 & /*random*/) {
    const std::size_t start = next++ % candidates.size();
    std::size_t best = start;
    for (std::size_t n = 1; n < candidates.size(); ++n) {
      const std::size_t it = (start + n) % candidates.size();
      if (candidates[it].load.inFlight < candidates[best].load.inFlight)
        best = it;
    }
    return best;
  }

private:
  std::size_t next = 0;
};

} // namespace plantainhatch

#endif
