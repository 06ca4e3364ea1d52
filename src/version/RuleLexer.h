/** \file
 * Splits one line of a rules file into words and the comment that names the
 * author. */
#ifndef PLANTAINHATCH_VERSION_RULELEXER_H
#define PLANTAINHATCH_VERSION_RULELEXER_H

#include <string>
#include <string_view>
#include <vector>

namespace plantainhatch::internal {

/** A word with its column, counted from 1. */
struct Token {
  std::string_view text;
  std::size_t column = 0;
};

/** A line in parts. The views point into the line that was given. */
struct LexedLine {
  std::vector<Token> tokens;
  /** The comment without '#' and surrounding blanks. */
  std::string_view author;
  /** The column where the comment starts or, without one, where it should. */
  std::size_t authorColumn = 0;
};

/** Splits \p line. A '#' starts the comment at the beginning of a word only. */
LexedLine lexRuleLine(std::string_view line);

} // namespace plantainhatch::internal

#endif
