/** \file
 * Overloads for cereal that bound the memory a received message can allocate
 * and reject values outside the range of their type. */
#ifndef PLANTAINHATCH_PROCESS_BOUNDEDSERIALIZATION_H
#define PLANTAINHATCH_PROCESS_BOUNDEDSERIALIZATION_H

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainhatch::internal {

/** Maximum length of a string in a message; the longest are rules texts. */
inline constexpr std::uint32_t MaxStringBytes = 2 * 1024 * 1024;
/** Maximum number of items of a vector in a message; the longest are full
 * member lists. */
inline constexpr std::uint32_t MaxItems = 100'000;
/** Vectors grow by this many items while they are read, so that a forged count
 * fails at the end of the data and does not exhaust memory. */
inline constexpr std::uint32_t ItemsPerAllocation = 64;

/** Reads an element count.
 * \throw cereal::Exception if it exceeds \p maximum. */
inline std::uint32_t loadCount(cereal::PortableBinaryInputArchive &archive,
                               std::uint32_t maximum) {
  std::uint32_t count = 0;
  archive(count);
  if (count > maximum)
    throw cereal::Exception("element count in message is out of range");
  return count;
}

/** \throw cereal::Exception if \p value is beyond \p last, the last enumerator
 * of its type. */
template <typename Enum> void checkEnum(Enum value, Enum last) {
  if (value > last)
    throw cereal::Exception("enumerator in message is out of range");
}

} // namespace plantainhatch::internal

namespace cereal {

/** Writes a 32-bit length and the bytes. */
inline void save(PortableBinaryOutputArchive &archive,
                 const std::string &text) {
  archive(static_cast<std::uint32_t>(text.size()));
  archive(binary_data(text.data(), text.size()));
}

/** Reads a string of at most MaxStringBytes bytes. */
inline void load(PortableBinaryInputArchive &archive, std::string &text) {
  text.resize(plantainhatch::internal::loadCount(
      archive, plantainhatch::internal::MaxStringBytes));
  archive(binary_data(text.data(), text.size()));
}

/** Writes a 32-bit count and the items. */
template <typename T>
void save(PortableBinaryOutputArchive &archive, const std::vector<T> &items) {
  archive(static_cast<std::uint32_t>(items.size()));
  for (const T &item : items)
    archive(item);
}

/** Reads a vector of at most MaxItems items. */
template <typename T>
void load(PortableBinaryInputArchive &archive, std::vector<T> &items) {
  namespace bounds = plantainhatch::internal;
  const std::uint32_t count = bounds::loadCount(archive, bounds::MaxItems);
  items.clear();
  for (std::uint32_t index = 0; index < count; ++index) {
    if (index % bounds::ItemsPerAllocation == 0)
      items.reserve(std::min(count, index + bounds::ItemsPerAllocation));
    archive(items.emplace_back());
  }
}

/** Writes 1 and the value, or 0 if there is none. */
template <typename T>
void save(PortableBinaryOutputArchive &archive, const std::optional<T> &value) {
  archive(static_cast<std::uint32_t>(value.has_value()));
  if (value)
    archive(*value);
}

/** Reads an optional value.
 * \throw cereal::Exception if the flag is neither 0 nor 1. */
template <typename T>
void load(PortableBinaryInputArchive &archive, std::optional<T> &value) {
  value.reset();
  if (plantainhatch::internal::loadCount(archive, 1) == 1)
    archive(value.emplace());
}

} // namespace cereal

#endif
