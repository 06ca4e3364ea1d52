/** \file
 * Versions of a store that may come back from a copy. */
#ifndef PLANTAINHATCH_VERSION_STOREVERSION_H
#define PLANTAINHATCH_VERSION_STOREVERSION_H

#include <algorithm>
#include <cstdint>

namespace plantainhatch {

/** Counts how often the store has come back from a copy. Numbers that it gave
 * out in one era may be given out again in the next one. */
using StoreEra = std::uint16_t;

/** Bits of a version that hold the store's own number. */
inline constexpr unsigned StoreNumberBits = 48;
/** The largest number that a version can hold. */
inline constexpr std::uint64_t MaxStoreNumber =
    (std::uint64_t{1} << StoreNumberBits) - 1;

/** Era and number in one integer, ordered by era and then by number; in era 0
 * the number itself. A number above MaxStoreNumber is cut to that. Pure. */
constexpr std::uint64_t makeStoreVersion(StoreEra era, std::uint64_t number) {
  return (std::uint64_t{era} << StoreNumberBits) |
         std::min(number, MaxStoreNumber);
}

/** The era of a version that makeStoreVersion() has made. Pure. */
constexpr StoreEra eraOf(std::uint64_t version) {
  return static_cast<StoreEra>(version >> StoreNumberBits);
}

/** The store's own number of a version that makeStoreVersion() has made. Pure.
 */
constexpr std::uint64_t numberOf(std::uint64_t version) {
  return version & MaxStoreNumber;
}

} // namespace plantainhatch

#endif
