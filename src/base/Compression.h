/** \file
 * Compression of texts that are sent between nodes. */
#ifndef PLANTAINHATCH_BASE_COMPRESSION_H
#define PLANTAINHATCH_BASE_COMPRESSION_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace plantainhatch {

/** \p text in the zlib format. Pure. */
std::string compress(std::string_view text);

/** The inverse of compress(). Pure. \return nothing if \p bytes are damaged or
 * would become longer than \p maxBytes. */
std::optional<std::string> decompress(std::string_view bytes,
                                      std::size_t maxBytes);

} // namespace plantainhatch

#endif
