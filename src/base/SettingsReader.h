/** \file
 * Reads typed fields from a JSON object and gathers findings instead of
 * stopping at the first. */
#ifndef PLANTAINHATCH_BASE_SETTINGSREADER_H
#define PLANTAINHATCH_BASE_SETTINGSREADER_H

#include "base/Address.h"
#include "base/Finding.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace plantainhatch::internal {

/** One pass over a settings file. Each read marks its field as known; what is
 * left over at the end is reported as unknown. Not thread-safe. */
class SettingsReader {
public:
  SettingsReader() = default;
  /** Parses \p content. Invalid JSON becomes the only finding. */
  SettingsReader(std::string fileName, const std::string &content);

  /** A non-empty string, or a finding and an empty string. */
  std::string requireText(const std::string &field);
  /** A string of letters, digits, '-', '_' and '.'. */
  std::string requireName(const std::string &field);
  /** An "IP:PORT" string. */
  Address requireAddress(const std::string &field);
  /** An http URL by IP number, without a trailing slash. */
  std::string requireUrl(const std::string &field);
  /** An array of "IP:PORT" strings; empty if the field is absent. */
  std::vector<Address> optionalAddresses(const std::string &field);

  /** A number in a range, ends included, or a finding and \p least. */
  double requireNumber(const std::string &field, double least, double most);

  /** True if the field is there. */
  bool has(const std::string &field) { return find(field) != nullptr; }

  /** A reader of the object in a field, whose findings name their fields with
   * the prefix "FIELD."; absorb() takes them over. */
  SettingsReader section(const std::string &field);
  /** Takes over the findings of a section. */
  void absorb(SettingsReader &section);

  /** Adds a finding for a field. */
  void report(const std::string &field, std::string message);
  /** Adds a finding for each field that no call asked for. */
  void reportUnknownFields();
  /** All findings so far. */
  const Findings &findings() const { return found; }

private:
  std::string fileName;
  nlohmann::json object;
  bool parsed = false;
  std::string prefix;
  std::set<std::string> known;
  Findings found;

  const nlohmann::json *find(const std::string &field);
};

} // namespace plantainhatch::internal

#endif
