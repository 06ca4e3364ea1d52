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
  /** The index of the picked target. \pre \p choices is not empty. */
  std::size_t pick(std::span<const Candidate> choices,
                   std::mt19937_64 & /*random*/) {
    return next++ % choices.size();
  }

private:
  std::size_t next = 0;
};

} // namespace plantainhatch

#endif
