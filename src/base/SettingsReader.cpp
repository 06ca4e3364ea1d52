#include "base/SettingsReader.h"

#include <algorithm>
#include <sstream>
#include <string_view>

namespace plantainhatch::internal {

namespace {

bool isNameCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.';
}

Finding placeOf(const std::string &fileName, const std::string &content,
                const nlohmann::json::parse_error &error) {
  const std::size_t at = std::min(error.byte, content.size());
  const auto start = content.begin();
  const auto end = start + static_cast<std::ptrdiff_t>(at);
  const auto line = static_cast<std::size_t>(std::count(start, end, '\n')) + 1;
  const auto lineStart = content.rfind('\n', at == 0 ? 0 : at - 1);
  const auto column = lineStart == std::string::npos ? at : at - lineStart - 1;
  return {fileName,
          line,
          std::max<std::size_t>(column, 1),
          {},
          "is not valid JSON"};
}

} // namespace

SettingsReader::SettingsReader(std::string name, const std::string &content)
    : fileName(std::move(name)) {
  try {
    object = nlohmann::json::parse(content);
  } catch (const nlohmann::json::parse_error &error) {
    found.push_back(placeOf(fileName, content, error));
    return;
  } catch (const nlohmann::json::exception &error) {
    found.push_back({fileName, 0, 0, {}, error.what()});
    return;
  }
  parsed = object.is_object();
  if (!parsed)
    found.push_back({fileName, 1, 1, {}, "must be a JSON object"});
}

std::string SettingsReader::requireText(const std::string &field) {
  const auto *const value = find(field);
  if (value == nullptr) {
    if (parsed)
      report(field, "is missing; add it as a string");
    return {};
  }
  if (!value->is_string() || value->get<std::string>().empty()) {
    report(field, "must be a non-empty string");
    return {};
  }
  return value->get<std::string>();
}

std::string SettingsReader::requireName(const std::string &field) {
  std::string text = requireText(field);
  if (!std::ranges::all_of(text, isNameCharacter))
    report(field, "may only hold letters, digits, '-', '_' and '.'");
  return text;
}

Address SettingsReader::requireAddress(const std::string &field) {
  const std::string text = requireText(field);
  if (text.empty())
    return {};
  const auto address = Address::parse(text);
  if (!address)
    report(field,
           "'" + text +
               "' is not an IP number with a port, such as 10.0.0.7:8101");
  return address.value_or(Address{});
}

std::string SettingsReader::requireUrl(const std::string &field) {
  static constexpr std::string_view Scheme = "http://";
  std::string text = requireText(field);
  if (text.empty())
    return {};
  while (text.back() == '/')
    text.pop_back();
  if (!text.starts_with(Scheme) || !Address::parse(text.substr(Scheme.size())))
    report(field, "'" + text + "' is not a URL such as http://10.0.0.1:9000");
  return text;
}

std::vector<Address>
SettingsReader::optionalAddresses(const std::string &field) {
  const auto *const value = find(field);
  if (value == nullptr)
    return {};
  if (!value->is_array()) {
    report(field, "must be an array of addresses");
    return {};
  }
  std::vector<Address> addresses;
  for (std::size_t n = 0; n < value->size(); ++n) {
    const auto &item = (*value)[n];
    const auto address = item.is_string()
                             ? Address::parse(item.get<std::string>())
                             : std::optional<Address>();
    if (address)
      addresses.push_back(*address);
    else
      report(field + "[" + std::to_string(n) + "]",
             "is not an IP number with a port");
  }
  return addresses;
}

double SettingsReader::requireNumber(const std::string &field, double least,
                                     double most) {
  const auto *const value = find(field);
  if (value == nullptr) {
    if (parsed)
      report(field, "is missing; add it as a number");
    return least;
  }
  const double number = value->is_number() ? value->get<double>() : least - 1;
  if (number >= least && number <= most)
    return number;
  std::ostringstream range;
  range << "must be a number from " << least << " to " << most;
  report(field, range.str());
  return least;
}

SettingsReader SettingsReader::section(const std::string &field) {
  SettingsReader reader;
  reader.fileName = fileName;
  reader.prefix = prefix + field + ".";
  const auto *const value = find(field);
  reader.parsed = value != nullptr && value->is_object();
  if (reader.parsed)
    reader.object = *value;
  else
    report(field, "must be a JSON object");
  return reader;
}

void SettingsReader::absorb(SettingsReader &section) {
  section.reportUnknownFields();
  found.insert(found.end(), section.found.begin(), section.found.end());
}

void SettingsReader::report(const std::string &field, std::string message) {
  found.push_back({fileName, 0, 0, prefix + field, std::move(message)});
}

void SettingsReader::reportUnknownFields() {
  if (!parsed)
    return;
  for (const auto &item : object.items())
    if (!known.contains(item.key()))
      report(item.key(),
             "is not a known setting; remove it or correct its name");
}

const nlohmann::json *SettingsReader::find(const std::string &field) {
  known.insert(field);
  if (!parsed)
    return nullptr;
  const auto it = object.find(field);
  return it == object.end() ? nullptr : &*it;
}

} // namespace plantainhatch::internal
