/** \file
 * The difference between two consecutive versions of a rules text. */
#ifndef PLANTAINHATCH_VERSION_TEXTDELTA_H
#define PLANTAINHATCH_VERSION_TEXTDELTA_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainhatch {

/** A single replaced range of bytes. Operators mostly change one line at a
 * time, for which one range is as compact as a full diff. */
struct TextDelta {
  /** Bytes kept from the start of the old text. */
  std::uint32_t prefix = 0;
  /** Bytes kept from the end of the old text. */
  std::uint32_t suffix = 0;
  /** The bytes between prefix and suffix in the new text. */
  std::string replacement;

  /** Computes the delta that turns \p from into \p to. Pure. */
  static TextDelta between(std::string_view from, std::string_view to);

  /** Applies the delta to \p from.
   * \return the new text, or nullopt if \p from is too short to be the old
   * text. The caller must check the digest of the result, as any other text
   * that is long enough is accepted. */
  std::optional<std::string> apply(std::string_view from) const;

  /** Serialization hook. */
  template <typename Archive> void serialize(Archive &archive) {
    archive(prefix, suffix, replacement);
  }
};

} // namespace plantainhatch

#endif
