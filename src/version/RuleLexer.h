/** \file
 * Splits a line of a rules file into tokens and the comment, which names the
 * author. */
#ifndef PLANTAINHATCH_VERSION_RULELEXER_H
#define PLANTAINHATCH_VERSION_RULELEXER_H

#include <string>
#include <string_view>
#include <vector>

namespace plantainhatch::internal {

/** A token, delimited by white space, and its column. */
struct Token {
  std::string_view text;
  /** Counted from 1. */
  std::size_t column = 0;
};

/** The tokens and the comment of a line. The views point into the line passed
 * to lexRuleLine(), which must outlive them. */
struct LexedLine {
  std::vector<Token> tokens;
  /** The comment without '#' and surrounding white space; empty if there is no
   * comment. */
  std::string_view author;
  /** The column of the comment, counted from 1; if there is none, the column
   * after the end of the line. */
  std::size_t authorColumn = 0;
};

/** Splits \p line. Only a '#' at the beginning of a token starts a comment.
 * Pure. */
LexedLine lexRuleLine(std::string_view line);

} // namespace plantainhatch::internal

#endif
