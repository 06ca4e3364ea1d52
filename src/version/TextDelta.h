/** \file
 * The difference between two consecutive versions of a rules text. */
#ifndef PLANTAINHATCH_VERSION_TEXTDELTA_H
#define PLANTAINHATCH_VERSION_TEXTDELTA_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhatch {

/** Edits of a text from its start to its end. Edits are of whole lines, and
 * few where both texts are sorted or one line has changed; the delta of other
 * texts may hold most of the new one. */
struct TextDelta {
  /** Keeps some bytes of the old text, skips some, and inserts others. */
  struct Edit {
    std::uint32_t kept = 0;
    std::uint32_t skipped = 0;
    std::string inserted;

    /** Serialization hook. */
    template <typename Archive> void serialize(Archive &archive) {
      archive(kept, skipped, inserted);
    }
  };

  /** What follows the last edit in the old text is kept. */
  std::vector<Edit> edits;

  /** Computes the delta that turns \p from into \p to. Pure. */
  static TextDelta between(std::string_view from, std::string_view to);

  /** Applies the delta to \p from.
   * \return the new text, or nullopt if \p from is too short to be the old
   * text. The caller must check the digest of the result, as any other text
   * that is long enough is accepted. */
  std::optional<std::string> apply(std::string_view from) const;

  /** Bytes of text that the delta holds. */
  std::size_t insertedBytes() const;

  /** Serialization hook. */
  template <typename Archive> void serialize(Archive &archive) {
    archive(edits);
  }
};

} // namespace plantainhatch

#endif
