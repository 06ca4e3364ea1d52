/** \file
 * Hybrid logical clocks: timestamps that respect causality and stay near the
 * wall clock. */
#ifndef PLANTAINHATCH_BASE_HYBRIDCLOCK_H
#define PLANTAINHATCH_BASE_HYBRIDCLOCK_H

#include "base/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainhatch {

/** A timestamp: 48 bits of wall clock milliseconds above 16 bits of logical
 * counter. */
struct HybridTime {
  std::uint64_t value = 0;

  /** The wall clock part. */
  WallTime wallTime() const;
  /** The value in decimal. */
  std::string toString() const { return std::to_string(value); }
  /** Reads what toString() wrote. */
  static std::optional<HybridTime> parse(std::string_view text);

  auto operator<=>(const HybridTime &) const = default;

  /** Serialization hook. */
  template <typename Archive> void serialize(Archive &archive) {
    archive(value);
  }
};

/** The clock of one process. Each message between nodes carries its value, so
 * that an effect is always stamped later than its cause. Not thread-safe. */
class HybridClock {
public:
  /** A remote stamp further ahead of the local wall clock than this is not
   * adopted, so one VM with a wrong clock does not pull the whole fleet into
   * the future. */
  static constexpr std::chrono::minutes MaxDrift{10};

  /** The stamp of a local event or of a message about to be sent. */
  HybridTime stamp(WallTime now);

  /** Takes in the stamp of a received message.
   * \return false if the stamp was too far ahead and was ignored. */
  bool observe(HybridTime remote, WallTime now);

private:
  HybridTime last;
};

} // namespace plantainhatch

#endif
