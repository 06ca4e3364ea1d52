/** \file
 * Pick policy "round-robin", a baseline. */
#ifndef PLANTAINHATCH_REQUEST_ROUNDROBINPOLICY_H
#define PLANTAINHATCH_REQUEST_ROUNDROBINPOLICY_H

#include "request/Candidate.h"

#include <random>
#include <span>

namespace plantainhatch {

/** Picks the targets in turn. Not thread-safe. */
class RoundRobinPolicy {
public:
  /** The index of the picked target. \pre \p candidates is not empty. */
  std::size_t pick(std::span<const Candidate> candidates,
                   std::mt19937_64 & /*random*/) {
    return next++ % candidates.size();
  }

private:
  std::size_t next = 0;
};

} // namespace plantainhatch

#endif
