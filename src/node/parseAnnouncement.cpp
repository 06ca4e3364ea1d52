#include "node/parseAnnouncement.h"

#include "base/Text.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <optional>

namespace plantainhatch {

namespace {

using nlohmann::json;

/** Reads typed fields of a JSON object and collects findings. */
class BodyReader {
public:
  explicit BodyReader(const std::string &body) {
    object = json::parse(body, nullptr, false);
    if (!object.is_object())
      report({}, "the body must be a JSON object");
  }

  std::string text(const char *field, bool isRequired) {
    const auto it = object.is_object() ? object.find(field) : object.end();
    if (it == object.end()) {
      if (isRequired && object.is_object())
        report(field, "is missing");
      return {};
    }
    const auto *const text = it->get_ptr<const json::string_t *>();
    if (text == nullptr || (isRequired && text->empty()) ||
        !isPlainText(*text)) {
      report(field, "must be a non-empty string without control characters");
      return {};
    }
    return *text;
  }

  std::uint16_t count(const char *field) {
    const auto it = object.is_object() ? object.find(field) : object.end();
    if (it == object.end()) {
      if (object.is_object())
        report(field, "is missing");
      return 0;
    }
    constexpr int Max = std::numeric_limits<std::uint16_t>::max();
    const bool isValid = it->is_number_integer() && *it >= 1 && *it <= Max;
    if (!isValid)
      report(field, "must be an integer from 1 to " + std::to_string(Max));
    return isValid ? it->get<std::uint16_t>() : std::uint16_t{0};
  }

  void report(const std::string &field, std::string message) {
    found.push_back({"body", 0, 0, field, std::move(message)});
  }

  const Findings &findings() const { return found; }

private:
  json object;
  Findings found;
};

} // namespace

Checked<Target> parseAnnouncement(const std::string &body) {
  BodyReader reader(body);
  Target target;
  target.service = reader.text("service", true);
  const std::string address = reader.text("address", true);
  target.slots = reader.count("slots");
  target.connections = reader.count("connections");
  target.coldSlots = reader.count("coldSlots");
  target.bootId = reader.text("bootId", true);
  target.loadPath = reader.text("loadPath", false);
  const auto parsed = Address::parse(address);
  if (!address.empty() && !parsed)
    reader.report("address",
                  "'" + address + "' is not an IP number with a port");
  if (target.coldSlots > target.slots && target.slots > 0)
    reader.report("coldSlots", "must not exceed slots");
  if (!reader.findings().empty() || !parsed)
    return reader.findings();
  target.address = *parsed;
  return target;
}

Checked<std::string> parseLeave(const std::string &body) {
  BodyReader reader(body);
  std::string bootId = reader.text("bootId", true);
  if (!reader.findings().empty())
    return reader.findings();
  return bootId;
}

} // namespace plantainhatch
