#include "version/RuleLexer.h"

#include <algorithm>

namespace plantainhatch::internal {

namespace {

constexpr std::string_view WhiteSpace = " \t\r";

std::string_view trim(std::string_view text) {
  const auto first = text.find_first_not_of(WhiteSpace);
  if (first == std::string_view::npos)
    return {};
  const auto last = text.find_last_not_of(WhiteSpace);
  return text.substr(first, last - first + 1);
}

} // namespace

LexedLine lexRuleLine(std::string_view line) {
  LexedLine lexed;
  std::size_t at = 0;
  while ((at = line.find_first_not_of(WhiteSpace, at)) !=
         std::string_view::npos) {
    if (line[at] == '#') {
      lexed.author = trim(line.substr(at + 1));
      lexed.authorColumn = at + 1;
      return lexed;
    }
    const auto end = std::min(line.find_first_of(WhiteSpace, at), line.size());
    lexed.tokens.push_back({line.substr(at, end - at), at + 1});
    at = end;
  }
  lexed.authorColumn = line.size() + 1;
  return lexed;
}

} // namespace plantainhatch::internal
