/** \file
 * Bytes as text. */
#ifndef PLANTAINHATCH_BASE_BASE64_H
#define PLANTAINHATCH_BASE_BASE64_H

#include <string>

namespace plantainhatch {

/** Any bytes in base64. Thread-safe. */
std::string encodeBase64(const std::string &bytes);

/** The bytes of what encodeBase64() wrote; characters that are not base64 are
 * passed over. Thread-safe. */
std::string decodeBase64(const std::string &text);

} // namespace plantainhatch

#endif
