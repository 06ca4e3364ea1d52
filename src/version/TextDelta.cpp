#include "version/TextDelta.h"

#include <algorithm>

namespace plantainhatch {

TextDelta TextDelta::between(std::string_view from, std::string_view to) {
  const auto start = std::ranges::mismatch(from, to).in1;
  const auto prefix = static_cast<std::size_t>(start - from.begin());
  const auto restFrom = from.substr(prefix);
  const auto restTo = to.substr(prefix);
  const auto end = std::mismatch(restFrom.rbegin(), restFrom.rend(),
                                 restTo.rbegin(), restTo.rend());
  const auto suffix = static_cast<std::size_t>(end.first - restFrom.rbegin());
  return {static_cast<std::uint32_t>(prefix),
          static_cast<std::uint32_t>(suffix),
          std::string(restTo.substr(0, restTo.size() - suffix))};
}

std::optional<std::string> TextDelta::apply(std::string_view from) const {
  if (std::size_t{prefix} + suffix > from.size())
    return std::nullopt;
  std::string text(from.substr(0, prefix));
  text += replacement;
  text += from.substr(from.size() - suffix);
  return text;
}

} // namespace plantainhatch
