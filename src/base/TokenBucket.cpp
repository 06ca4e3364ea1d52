#include "base/TokenBucket.h"

#include <algorithm>

namespace plantainhatch {

TokenBucket::TokenBucket(double perSecond, double capacity)
    : rate(perSecond), capacity(capacity), tokens(capacity) {}

bool TokenBucket::tryTake(double n, TimePoint now) {
  refill(now);
  if (tokens < n)
    return false;
  tokens -= n;
  return true;
}

void TokenBucket::takeOwing(double n, TimePoint now) {
  refill(now);
  tokens -= n;
}

void TokenBucket::add(double n) { tokens = std::min(capacity, tokens + n); }

double TokenBucket::available(TimePoint now) {
  refill(now);
  return tokens;
}

void TokenBucket::setRateAndCapacity(double perSecond, double newCapacity) {
  rate = perSecond;
  capacity = newCapacity;
  tokens = std::min(tokens, capacity);
}

void TokenBucket::refill(TimePoint now) {
  if (refilledAt == TimePoint{})
    refilledAt = now;
  const std::chrono::duration<double> elapsed = now - refilledAt;
  if (elapsed.count() <= 0)
    return;
  add(elapsed.count() * rate);
  refilledAt = now;
}

} // namespace plantainhatch
