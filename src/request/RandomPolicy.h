/** \file
 * Pick policy "random", a baseline. */
#ifndef PLANTAINHATCH_REQUEST_RANDOMPOLICY_H
#define PLANTAINHATCH_REQUEST_RANDOMPOLICY_H

#include "request/Candidate.h"

#include <random>
#include <span>

namespace plantainhatch {

/** Picks each target with the same probability. */
class RandomPolicy {
public:
  /** The index of the picked target. \pre \p candidates is not empty. */
  std::size_t pick(std::span<const Candidate> candidates,
                   std::mt19937_64 &random) {
    return std::uniform_int_distribution<std::size_t>(0, candidates.size() -
                                                             1)(random);
  }
};

} // namespace plantainhatch

#endif
