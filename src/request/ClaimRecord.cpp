#include "request/ClaimRecord.h"

#include "base/Digest.h"
#include "base/Text.h"

#include <nlohmann/json.hpp>

namespace plantainhatch {

namespace {

using nlohmann::json;

std::string hexFromBytes(const std::string &bytes) { return toHex(bytes); }

std::string bytesFromHex(const std::string &hex) {
  static constexpr int Hexadecimal = 16;
  std::string bytes;
  for (std::size_t n = 0; n + 1 < hex.size(); n += 2)
    bytes +=
        static_cast<char>(std::stoi(hex.substr(n, 2), nullptr, Hexadecimal));
  return bytes;
}

} // namespace

std::string ClaimRecord::toJson() const {
  const json row{{"claimId", claimId},
                 {"requestDigest", requestDigest},
                 {"node", node},
                 {"state", static_cast<int>(state)},
                 {"deadlineMs", deadlineMs},
                 {"status", answer.status},
                 {"headers", answer.headers},
                 {"bodyHex", hexFromBytes(answer.body)},
                 {"isWhole", answer.isComplete}};
  return encodeJson(row);
}

Checked<ClaimRecord> ClaimRecord::fromJson(const std::string &text) {
  try {
    const auto row = json::parse(text);
    ClaimRecord record;
    row.at("claimId").get_to(record.claimId);
    row.at("requestDigest").get_to(record.requestDigest);
    row.at("node").get_to(record.node);
    const int state = row.at("state").get<int>();
    if (state < 0 || state > static_cast<int>(ClaimState::Unknown))
      return Findings{
          {"claim row", 0, 0, "state", "is not a valid claim state"}};
    record.state = static_cast<ClaimState>(state);
    row.at("deadlineMs").get_to(record.deadlineMs);
    row.at("status").get_to(record.answer.status);
    row.at("headers").get_to(record.answer.headers);
    record.answer.body = bytesFromHex(row.at("bodyHex").get<std::string>());
    row.at("isWhole").get_to(record.answer.isComplete);
    return record;
  } catch (const std::exception &error) {
    return Findings{{"claim row", 0, 0, {}, error.what()}};
  }
}

std::string claimKey(const std::string &service,
                     const std::string &idempotencyKey) {
  return digestOf(service + "\n" + idempotencyKey);
}

std::string claimDigest(const CallRequest &request) {
  return digestOf(request.method + "\n" + request.target + "\n" +
                  digestOf(request.body));
}

} // namespace plantainhatch
