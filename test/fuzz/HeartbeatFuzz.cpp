/** \file
 * Fuzzes heartbeats from the wire to the pages: a body names a whole target, or
 * each fault has its field, and whatever bytes there are, the parsers of JSON
 * and of metrics read what shows them. */
#include "base/Text.h"
#include "connection/HttpMessageReader.h"
#include "node/EventJson.h"
#include "node/MemberJson.h"
#include "platform/parseHeartbeat.h"
#include "process/Metrics.h"
#include "process/metricLabel.h"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace {

using namespace plantainhatch;

constexpr std::string_view Path = "/instances/";

void require(bool isTrue) {
  if (!isTrue)
    std::abort();
}

/** \return what follows a label's value and its closing quote. */
std::string_view skipLabel(std::string_view text) {
  require(text.starts_with("x{y=\""));
  std::size_t n = 5;
  for (; n < text.size() && text[n] != '"'; ++n) {
    require(text[n] != '\n');
    if (text[n] != '\\')
      continue;
    ++n;
    require(n < text.size() &&
            (text[n] == '\\' || text[n] == '"' || text[n] == 'n'));
  }
  return text.substr(std::min(n + 1, text.size()));
}

void checkPages(const Member &member, const std::string &text) {
  const Event event{{}, EventKind::TargetAnnounced, text, text, text, text};
  require(nlohmann::json::accept(encodeJson(toJson(member))));
  require(nlohmann::json::accept(encodeJson(toJson({event}))));
  Metrics metrics;
  metrics.add("x", metricLabel("y", text));
  const std::string page = metrics.print();
  constexpr std::string_view Head =
      "# TYPE plantainhatch_x counter\nplantainhatch_";
  require(page.starts_with(Head) && toValidUtf8(page) == page);
  require(skipLabel(std::string_view(page).substr(Head.size())) == "} 1\n");
}

void readHeartbeat(const std::string &id, const std::string &body) {
  HttpMessageReader reader(HTTP_REQUEST);
  reader.feed("PUT " + std::string(Path) + id +
              " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
              "\r\n\r\n" + body);
  if (reader.state() != HttpMessageReader::State::Complete ||
      !reader.target.starts_with(Path))
    return;
  const auto instance =
      platform::parseInstanceId(reader.target.substr(Path.size()));
  if (!instance)
    return;
  const auto heartbeat = platform::parseHeartbeat(*instance, reader.body);
  if (!heartbeat) {
    require(!heartbeat.error().empty());
    checkPages({}, toString(heartbeat.error()));
    return;
  }
  Member member;
  member.target = heartbeat.value().target;
  require(!member.target.service.empty() && member.target.slots > 0);
  require(isPlainText(member.target.service + member.target.bootId));
  checkPages(member, member.target.service + member.target.bootId);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  const std::string bytes(reinterpret_cast<const char *>(data), size);
  const auto end = std::min(bytes.find('\n'), bytes.size());
  const std::string id = bytes.substr(0, end);
  const std::string rest = bytes.substr(std::min(end + 1, bytes.size()));
  readHeartbeat("i-" + id, rest);
  readHeartbeat("i-" + id,
                R"({"address":"10.0.0.7:8000","information":{"service":")" +
                    rest +
                    R"(","slots":9},"status":{"state":"ready","sequence":1,)"
                    R"("cold_remaining_ms":0}})");
  Member member;
  member.failureDomain = member.target.service = bytes;
  checkPages(member, bytes);
  return 0;
}
