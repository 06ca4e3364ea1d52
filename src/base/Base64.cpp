#include "base/Base64.h"

#include <glib.h>

#include <memory>

namespace plantainhatch {

std::string encodeBase64(const std::string &bytes) {
  const std::unique_ptr<gchar, decltype(&g_free)> text(
      g_base64_encode(reinterpret_cast<const guchar *>(bytes.data()),
                      bytes.size()),
      g_free);
  return text.get();
}

std::string decodeBase64(const std::string &text) {
  gsize n = 0;
  const std::unique_ptr<guchar, decltype(&g_free)> bytes(
      g_base64_decode(text.c_str(), &n), g_free);
  return {reinterpret_cast<const char *>(bytes.get()), n};
}

} // namespace plantainhatch
