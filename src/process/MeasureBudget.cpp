#include "process/MeasureBudget.h"

#include <algorithm>

namespace plantainhatch {

namespace {

constexpr double BurstSeconds = 0.1;
/** The largest probe or report on the wire; a smaller bucket could never pay
 * for one. */
constexpr double MinByteBurst = 256;

double burstOf(double perSecond, double least) {
  return perSecond == 0 ? 0 : std::max(least, perSecond * BurstSeconds);
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
  const bool canPay =
      messageTokens.available(now) >= 1 && byteTokens.available(now) >= size;
  if (!canPay) {
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
