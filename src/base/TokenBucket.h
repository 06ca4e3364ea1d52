/** \file
 * A token bucket with time as an argument. */
#ifndef PLANTAINHATCH_BASE_TOKENBUCKET_H
#define PLANTAINHATCH_BASE_TOKENBUCKET_H

#include "base/Time.h"

namespace plantainhatch {

/** Limits a rate while allowing short bursts. Not thread-safe. */
class TokenBucket {
public:
  /** \param perSecond tokens that flow in each second; not negative.
   * \param capacity the most that can gather; not negative. The bucket starts
   * full. */
  TokenBucket(double perSecond, double capacity);

  /** Takes \p n tokens if they are there; takes nothing otherwise. */
  bool tryTake(double n, TimePoint now);

  /** Takes \p n tokens also if they are not there; the bucket then owes them.
   */
  void takeOwing(double n, TimePoint now);

  /** Adds \p n tokens, up to the capacity. */
  void add(double n);

  /** The tokens there at \p now; negative if the bucket owes some. */
  double available(TimePoint now);

  /** Changes rate and capacity; tokens above the new capacity are lost. */
  void setRateAndCapacity(double perSecond, double newCapacity);

private:
  double rate;
  double capacity;
  double tokens;
  TimePoint refilledAt;

  void refill(TimePoint now);
};

} // namespace plantainhatch

#endif
