/** \file
 * The difference between two neighbouring versions of a rules text. */
#ifndef PLANTAINHATCH_VERSION_TEXTDELTA_H
#define PLANTAINHATCH_VERSION_TEXTDELTA_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainhatch {

/** One replaced stretch of bytes. Operators mostly change one line at a time,
 * for which a single stretch is as small as a full difference. */
struct TextDelta {
  /** Bytes kept from the start of the old text. */
  std::uint32_t prefix = 0;
  /** Bytes kept from its end. */
  std::uint32_t suffix = 0;
  /** What stands between them in the new text. */
  std::string replacement;

  /** The delta that turns \p from into \p to. Pure. */
  static TextDelta between(std::string_view from, std::string_view to);

  /** The new text, or nothing if \p from is too short to be the old text. The
   * caller checks the digest of the result. */
  std::optional<std::string> apply(std::string_view from) const;

  /** Serialization hook. */
  template <typename Archive> void serialize(Archive &archive) {
    archive(prefix, suffix, replacement);
  }
};

} // namespace plantainhatch

#endif
