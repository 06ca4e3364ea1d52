/** \file
 * A baseline: one target after the other. */
#ifndef PLANTAINHATCH_REQUEST_ROUNDROBINPOLICY_H
#define PLANTAINHATCH_REQUEST_ROUNDROBINPOLICY_H

#include "request/Candidate.h"

#include <random>
#include <span>

namespace plantainhatch {

/** Picks in turn. */
class RoundRobinPolicy {
public:
  /** \pre \p choices is not empty. */
  std::size_t pick(std::span<const Candidate> choices,
                   std::mt19937_64 & /*random*/) {
    return next++ % choices.size();
  }

private:
  std::size_t next = 0;
};

} // namespace plantainhatch

#endif
