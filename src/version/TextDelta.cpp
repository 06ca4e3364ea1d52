#include "version/TextDelta.h"

#include "version/takeLine.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace plantainhatch {

namespace {

/** Appends to the last edit, or begins one if bytes are kept before it. */
class EditWriter {
public:
  void keep(std::string_view line) { kept += line.size(); }

  void skip(std::string_view line) {
    edit().skipped += static_cast<std::uint32_t>(line.size());
  }

  void insert(std::string_view text) { edit().inserted += text; }

  std::vector<TextDelta::Edit> take() { return std::move(edits); }

private:
  std::vector<TextDelta::Edit> edits;
  /** Since the last edit. */
  std::size_t kept = 0;

  TextDelta::Edit &edit() {
    if (edits.empty() || kept > 0)
      edits.push_back({static_cast<std::uint32_t>(kept), 0, {}});
    kept = 0;
    return edits.back();
  }
};

/** Bytes of the lines that both texts end with. */
std::size_t commonEnd(std::string_view from, std::string_view to) {
  const auto end =
      std::mismatch(from.rbegin(), from.rend(), to.rbegin(), to.rend());
  const auto n = static_cast<std::size_t>(end.first - from.rbegin());
  const auto lineEnd = to.find('\n', to.size() - n);
  return lineEnd == std::string_view::npos ? 0 : to.size() - lineEnd - 1;
}

} // namespace

TextDelta TextDelta::between(std::string_view from, std::string_view to) {
  EditWriter writer;
  const std::size_t end = commonEnd(from, to);
  from.remove_suffix(end);
  to.remove_suffix(end);
  std::string_view oldLine = takeLine(from);
  std::string_view newLine = takeLine(to);
  while (!oldLine.empty() || !newLine.empty()) {
    const bool isSame = oldLine == newLine;
    const bool isNew =
        !isSame && !newLine.empty() && (oldLine.empty() || newLine < oldLine);
    if (isSame)
      writer.keep(oldLine);
    else if (isNew)
      writer.insert(newLine);
    else
      writer.skip(oldLine);
    if (isSame || isNew)
      newLine = takeLine(to);
    if (!isNew)
      oldLine = takeLine(from);
  }
  return {writer.take()};
}

std::optional<std::string> TextDelta::apply(std::string_view from) const {
  std::string text;
  text.reserve(from.size() + insertedBytes());
  for (const Edit &it : edits) {
    if (std::size_t{it.kept} + it.skipped > from.size())
      return std::nullopt;
    text += from.substr(0, it.kept);
    text += it.inserted;
    from.remove_prefix(std::size_t{it.kept} + it.skipped);
  }
  text += from;
  return text;
}

std::size_t TextDelta::insertedBytes() const {
  return std::transform_reduce(
      edits.begin(), edits.end(), std::size_t{0}, std::plus<>(),
      [](const Edit &it) { return it.inserted.size(); });
}

} // namespace plantainhatch
