/** \file
 * Text that comes from outside. */
#ifndef PLANTAINHATCH_BASE_TEXT_H
#define PLANTAINHATCH_BASE_TEXT_H

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace plantainhatch {

/** True for valid UTF-8 without control characters, which can stand in a
 * header, a line of a log and a page. Pure; thread-safe. */
bool isPlainText(std::string_view text);

/** The text with invalid UTF-8 and zero bytes replaced. Pure; thread-safe. */
std::string toValidUtf8(std::string_view text);

/** The JSON text of \p value, in one line, with invalid UTF-8 replaced. Unlike
 * dump() it throws at no value. Pure; thread-safe. */
std::string encodeJson(const nlohmann::json &value);

} // namespace plantainhatch

#endif
