/** \file
 * Takes a text apart line by line. */
#ifndef PLANTAINHATCH_VERSION_TAKELINE_H
#define PLANTAINHATCH_VERSION_TAKELINE_H

#include <string_view>

namespace plantainhatch {

/** Removes the first line from \p text. Pure. \return it with its line break,
 * which the last line may lack; empty if \p text is. */
inline std::string_view takeLine(std::string_view &text) {
  const auto lineBreak = text.find('\n');
  const std::string_view line = text.substr(
      0, lineBreak == std::string_view::npos ? lineBreak : lineBreak + 1);
  text.remove_prefix(line.size());
  return line;
}

} // namespace plantainhatch

#endif
