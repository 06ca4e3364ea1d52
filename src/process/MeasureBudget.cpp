#include "process/MeasureBudget.h"

#include <algorithm>

namespace plantainhatch {

namespace {

/** Capacity of the buckets, as the time that it lasts at the full rate. */
constexpr double BurstSeconds = 0.1;
/** Upper bound of the size of a probe or report on the wire. With a smaller
 * bucket none could ever be sent. */
constexpr double MinByteBurst = 256;

double burstOf(double perSecond, double minimum) {
  return perSecond == 0 ? 0 : std::max(minimum, perSecond * BurstSeconds);
}

} // namespace

void MeasureBudget::setRates(const MeasureRule &rule) {
  const double messageRate = rule.messagesPerSecond;
  const double byteRate = rule.bytesPerSecond;
  messageTokens.setRateAndCapacity(messageRate, burstOf(messageRate, 1));
  byteTokens.setRateAndCapacity(byteRate, burstOf(byteRate, MinByteBurst));
}

bool MeasureBudget::trySpend(std::size_t bytes, TimePoint now) {
  const auto size = static_cast<double>(bytes);
  const bool isWithinBudget =
      messageTokens.available(now) >= 1 && byteTokens.available(now) >= size;
  if (!isWithinBudget) {
    ++refused;
    return false;
  }
  messageTokens.tryTake(1, now);
  byteTokens.tryTake(size, now);
  ++messages;
  bytesSpent += bytes;
  return true;
}

} // namespace plantainhatch
