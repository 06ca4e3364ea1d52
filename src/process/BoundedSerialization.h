/** ile
 * Overloads of cereal's loading that bound what a message can allocate and take
 * no value that its type does not have. */
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

/** No string in a message is longer; rules texts are the longest. */
inline constexpr std::uint32_t MaxStringBytes = 2 * 1024 * 1024;
/** No vector in a message has more items; whole memberships are the longest. */
inline constexpr std::uint32_t MaxItems = 100'000;
/** Memory is taken in steps of this many items, so that a false count fails at
 * the end of the data and not at the end of memory. */
inline constexpr std::uint32_t ItemsPerAllocation = 64;

/** Reads a count and checks it. */
inline std::uint32_t loadCount(cereal::PortableBinaryInputArchive &archive,
                               std::uint32_t most) {
  std::uint32_t n = 0;
  archive(n);
  if (n > most)
    throw cereal::Exception("a count in a message is out of bounds");
  return n;
}

/** Throws if an enumerator that was read lies beyond the last one. */
template <typename Enum> void checkEnum(Enum value, Enum last) {
  if (value > last)
    throw cereal::Exception("an enumerator in a message is out of bounds");
}

} // namespace plantainhatch::internal

namespace cereal {

/** Writes a string with a count of 32 bits. */
inline void save(PortableBinaryOutputArchive &archive,
                 const std::string &text) {
  archive(static_cast<std::uint32_t>(text.size()));
  archive(binary_data(text.data(), text.size()));
}

/** Reads a string of bounded length. */
inline void load(PortableBinaryInputArchive &archive, std::string &text) {
  text.resize(plantainhatch::internal::loadCount(
      archive, plantainhatch::internal::MaxStringBytes));
  archive(binary_data(text.data(), text.size()));
}

/** Writes a vector with a count of 32 bits. */
template <typename T>
void save(PortableBinaryOutputArchive &archive, const std::vector<T> &items) {
  archive(static_cast<std::uint32_t>(items.size()));
  for (const T &item : items)
    archive(item);
}

/** Reads a vector of bounded length. */
template <typename T>
void load(PortableBinaryInputArchive &archive, std::vector<T> &items) {
  namespace bounds = plantainhatch::internal;
  const std::uint32_t n = bounds::loadCount(archive, bounds::MaxItems);
  items.clear();
  for (std::uint32_t it = 0; it < n; ++it) {
    if (it % bounds::ItemsPerAllocation == 0)
      items.reserve(std::min(n, it + bounds::ItemsPerAllocation));
    archive(items.emplace_back());
  }
}

/** Writes a flag and, if there is one, the value. */
template <typename T>
void save(PortableBinaryOutputArchive &archive, const std::optional<T> &value) {
  archive(static_cast<std::uint32_t>(value.has_value()));
  if (value)
    archive(*value);
}

/** Reads what save() wrote. */
template <typename T>
void load(PortableBinaryInputArchive &archive, std::optional<T> &value) {
  value.reset();
  if (plantainhatch::internal::loadCount(archive, 1) == 1)
    archive(value.emplace());
}

} // namespace cereal

#endif
