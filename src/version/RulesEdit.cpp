#include "version/RulesEdit.h"

#include <algorithm>
#include <ranges>

namespace plantainhatch {

namespace {

/** The line of the rule that takes out the subject of \p move; 0 if there is
 * none. */
std::size_t lineOfMove(const Configuration &configuration, const Move &move) {
  if (move.kind == MoveKind::Domain) {
    const auto *const rule = configuration.findDomainOut(move.subject);
    return rule == nullptr ? 0 : rule->origin.line;
  }
  const auto it = configuration.vmsOut().find(move.subject);
  return it == configuration.vmsOut().end() ? 0 : it->second.origin.line;
}

std::string withoutLine(const std::string &text, std::size_t line) {
  std::size_t start = 0;
  for (std::size_t n = 1; n < line; ++n)
    start = text.find('\n', start) + 1;
  const auto end = text.find('\n', start);
  const auto count =
      end == std::string::npos ? std::string::npos : end - start + 1;
  return std::string(text).erase(start, count);
}

std::string withLine(std::string text, const std::string &line) {
  if (!text.empty() && !text.ends_with('\n'))
    text += '\n';
  return text + line + '\n';
}

} // namespace

std::string Move::toString() const {
  const std::string kindName = kind == MoveKind::Domain ? "domain " : "vm ";
  return kindName + subject +
         (direction == MoveDirection::Out ? " out" : " in");
}

std::string applyMove(const Configuration &configuration, const Move &move) {
  const std::size_t line = lineOfMove(configuration, move);
  const bool isOut = line != 0;
  if (isOut == (move.direction == MoveDirection::Out))
    return configuration.text();
  if (isOut)
    return withoutLine(configuration.text(), line);
  return withLine(configuration.text(), move.toString() + "  # " + move.author);
}

} // namespace plantainhatch
