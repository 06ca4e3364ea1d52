#include "base/Compression.h"

#include <gio/gio.h>

#include <array>
#include <memory>

namespace plantainhatch {

namespace {

constexpr std::size_t BlockBytes = 16UL * 1024;
/** Texts of routes are alike, so that the fastest level is nearly as good as
 * the others. */
constexpr int Level = 1;

struct Unref {
  void operator()(gpointer object) const { g_object_unref(object); }
};

/** \return nothing if \p bytes are damaged, or the result is longer than \p
 * maxBytes. */
std::optional<std::string>
convert(GConverter *converter, std::string_view bytes, std::size_t maxBytes) {
  std::string result;
  std::array<char, BlockBytes> block;
  while (true) {
    gsize consumed = 0;
    gsize produced = 0;
    GError *error = nullptr;
    const GConverterResult state = g_converter_convert(
        converter, bytes.data(), bytes.size(), block.data(), block.size(),
        G_CONVERTER_INPUT_AT_END, &consumed, &produced, &error);
    if (state == G_CONVERTER_ERROR) {
      g_error_free(error);
      return std::nullopt;
    }
    if (produced > maxBytes - result.size())
      return std::nullopt;
    result.append(block.data(), produced);
    bytes.remove_prefix(consumed);
    if (state == G_CONVERTER_FINISHED)
      return bytes.empty() ? std::optional(std::move(result)) : std::nullopt;
  }
}

} // namespace

std::string compress(std::string_view text) {
  const std::unique_ptr<GZlibCompressor, Unref> converter(
      g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB, Level));
  // Without a limit, compression does not fail.
  return convert(G_CONVERTER(converter.get()), text, std::string::npos)
      .value_or(std::string());
}

std::optional<std::string> decompress(std::string_view bytes,
                                      std::size_t maxBytes) {
  const std::unique_ptr<GZlibDecompressor, Unref> converter(
      g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB));
  return convert(G_CONVERTER(converter.get()), bytes, maxBytes);
}

} // namespace plantainhatch
