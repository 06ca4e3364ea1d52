#include "process/ProofAge.h"

#include <algorithm>
#include <limits>

namespace plantainhatch::proofAge {

std::uint32_t toMessage(TimePoint provedAt, TimePoint now) {
  constexpr std::int64_t Most = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(
      Most,
      std::chrono::ceil<std::chrono::milliseconds>(now - provedAt).count()));
}

TimePoint fromMessage(TimePoint askedAt, std::uint32_t ageMs) {
  return askedAt - std::chrono::milliseconds(ageMs);
}

bool isYoungForKeys(const std::optional<TimePoint> &provedAt, TimePoint now,
                    std::chrono::milliseconds bound) {
  return provedAt && now - *provedAt <= bound - KeyMargin;
}

bool isDueForKeys(const std::optional<TimePoint> &provedAt, TimePoint now,
                  std::chrono::milliseconds bound) {
  return !provedAt || now - *provedAt >= bound / KeyRenewalDivisor;
}

bool isOverdueForKeys(const std::optional<TimePoint> &provedAt, TimePoint now,
                      std::chrono::milliseconds bound) {
  return isDueForKeys(provedAt, now, 2 * bound);
}

} // namespace plantainhatch::proofAge
