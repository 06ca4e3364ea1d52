/** \file
 * Reads JSON that other processes have written. */
#ifndef PLANTAINHATCH_OPERATOR_FIELDOF_H
#define PLANTAINHATCH_OPERATOR_FIELDOF_H

#include <nlohmann/json.hpp>

#include <concepts>
#include <string>

namespace plantainhatch {

/** The field \p name of \p object; \p fallback if there is none of that type.
 * Unlike json::value() it throws at no value. Pure; thread-safe. */
template <typename T>
T fieldOf(const nlohmann::json &object, const char *name, T fallback) {
  const auto it = object.is_object() ? object.find(name) : object.end();
  if (it == object.end())
    return fallback;
  bool hasType = false;
  if constexpr (std::same_as<T, bool>)
    hasType = it->is_boolean();
  else if constexpr (std::integral<T>)
    hasType = it->is_number_integer();
  else
    hasType = it->is_string();
  return hasType ? it->get<T>() : fallback;
}

/** The same for a text. */
inline std::string textOf(const nlohmann::json &object, const char *name) {
  return fieldOf(object, name, std::string());
}

} // namespace plantainhatch

#endif
