#include "base/HybridClock.h"

#include <algorithm>
#include <charconv>

namespace plantainhatch {

namespace {

constexpr unsigned LogicalBits = 16;

HybridTime floorOf(WallTime now) {
  return {static_cast<std::uint64_t>(now.time_since_epoch().count())
          << LogicalBits};
}

} // namespace

WallTime HybridTime::wallTime() const {
  return WallTime(std::chrono::milliseconds(value >> LogicalBits));
}

std::optional<HybridTime> HybridTime::parse(std::string_view text) {
  HybridTime time;
  const char *const end = text.data() + text.size();
  auto [it, ec] = std::from_chars(text.data(), end, time.value);
  if (ec != std::errc() || it != end || text.empty())
    return std::nullopt;
  return time;
}

HybridTime HybridClock::stamp(WallTime now) {
  last = std::max(HybridTime{last.value + 1}, floorOf(now));
  return last;
}

bool HybridClock::observe(HybridTime remote, WallTime now) {
  if (remote.wallTime() > now + MaxDrift)
    return false;
  last = std::max(last, remote);
  return true;
}

} // namespace plantainhatch
