#include "base/Text.h"

#include <glib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>

namespace plantainhatch {

namespace {

bool isControl(char c) {
  constexpr unsigned char Delete = 0x7F;
  const auto byte = static_cast<unsigned char>(c);
  return byte < ' ' || byte == Delete;
}

} // namespace

bool isPlainText(std::string_view text) {
  return text.empty() ||
         (std::ranges::none_of(text, isControl) &&
          g_utf8_validate_len(text.data(), text.size(), nullptr) != FALSE);
}

std::string toValidUtf8(std::string_view text) {
  if (text.empty())
    return {};
  const std::unique_ptr<gchar, decltype(&g_free)> valid(
      g_utf8_make_valid(text.data(), static_cast<gssize>(text.size())), g_free);
  return valid.get();
}

std::string encodeJson(const nlohmann::json &value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace plantainhatch
