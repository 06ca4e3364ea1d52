#include "version/ConfigurationHead.h"

#include "base/Text.h"

#include <nlohmann/json.hpp>

namespace plantainhatch {

std::string ConfigurationHead::toJson() const {
  const nlohmann::json row{{"version", version}, {"digest", digest},
                           {"applyId", applyId}, {"author", author},
                           {"change", change},   {"appliedAtMs", appliedAtMs}};
  return encodeJson(row);
}

Checked<ConfigurationHead>
ConfigurationHead::fromJson(const std::string &json) {
  try {
    const auto row = nlohmann::json::parse(json);
    ConfigurationHead head;
    row.at("version").get_to(head.version);
    row.at("digest").get_to(head.digest);
    row.at("applyId").get_to(head.applyId);
    row.at("author").get_to(head.author);
    row.at("change").get_to(head.change);
    row.at("appliedAtMs").get_to(head.appliedAtMs);
    return head;
  } catch (const nlohmann::json::exception &error) {
    return Findings{{"head row", 0, 0, {}, error.what()}};
  }
}

} // namespace plantainhatch
