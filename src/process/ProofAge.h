/** \file
 * How old the proof is that a version of the configuration is the newest. */
#ifndef PLANTAINHATCH_PROCESS_PROOFAGE_H
#define PLANTAINHATCH_PROCESS_PROOFAGE_H

#include "base/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace plantainhatch {

/** A proof is as old as the question that led to it, on the clock of the node
 * that asked. On its way to another node its age only grows. All functions are
 * pure. */
namespace proofAge {

/** Proofs for keys end this long before the bound, for the rounding of times
 * and for clocks that differ in rate. */
inline constexpr std::chrono::milliseconds KeyMargin{100};
/** A proof for keys is renewed at this share of the bound, so that what is left
 * of it outlasts an outage of the store. */
inline constexpr int KeyRenewalDivisor = 5;

/** The age to tell another node, rounded up. \pre \p provedAt is not after
 * \p now. */
std::uint32_t toMessage(TimePoint provedAt, TimePoint now);

/** When a proof holds that another node has told, with age \p ageMs, in the
 * answer to a question of \p askedAt. Not later than the moment that the proof
 * is about. */
TimePoint fromMessage(TimePoint askedAt, std::uint32_t ageMs);

/** True if a key that was taken away \p bound ago, or earlier, is known to be
 * gone by a version that was the newest at \p provedAt. */
bool isYoungForKeys(const std::optional<TimePoint> &provedAt, TimePoint now,
                    std::chrono::milliseconds bound);

/** True if such a proof should be renewed. */
bool isDueForKeys(const std::optional<TimePoint> &provedAt, TimePoint now,
                  std::chrono::milliseconds bound);

/** True if it should have been renewed for so long that the usual way does not
 * work. */
bool isOverdueForKeys(const std::optional<TimePoint> &provedAt, TimePoint now,
                      std::chrono::milliseconds bound);

} // namespace proofAge
} // namespace plantainhatch

#endif
