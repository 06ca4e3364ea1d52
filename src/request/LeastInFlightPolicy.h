/** \file
 * A baseline: the target with the fewest calls in flight. */
#ifndef PLANTAINHATCH_REQUEST_LEASTINFLIGHTPOLICY_H
#define PLANTAINHATCH_REQUEST_LEASTINFLIGHTPOLICY_H

#include "request/Candidate.h"

#include <algorithm>
#include <random>
#include <span>

namespace plantainhatch {

/** Picks the least loaded, as far as this node knows; among equals, in turn. */
class LeastInFlightPolicy {
public:
  /** \pre \p choices is not empty. */
  std::size_t pick(std::span<const Candidate> choices,
                   std::mt19937_64 & /*random*/) {
    const std::size_t start = next++ % choices.size();
    std::size_t best = start;
    for (std::size_t n = 1; n < choices.size(); ++n) {
      const std::size_t it = (start + n) % choices.size();
      if (choices[it].load.inFlight < choices[best].load.inFlight)
        best = it;
    }
    return best;
  }

private:
  std::size_t next = 0;
};

} // namespace plantainhatch

#endif
