/** \file
 * What the adapter reads from the platform, without a network. */
#include "platform/CallProtocol.h"
#include "platform/HeartbeatFilter.h"
#include "platform/decodeConfiguration.h"
#include "platform/parseHeartbeat.h"
#include "version/TextDelta.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using nlohmann::json;

namespace {

constexpr const char *Id = "X-Plantainhatch-Request-Attempt-Id";
constexpr const char *Signature = "X-Plantainhatch-Server-Signature";
constexpr const char *NotExecuted = "X-Plantainhatch-Not-Executed";

struct AnswerCase {
  const char *name;
  HeaderList headers;
  unsigned status;
  AnswerKind kind;
};

json goodHeartbeat() {
  return {{"address", "10.0.0.7:8000"},
          {"born", 1'700'000'000'000},
          {"information",
           {{"service", "s"}, {"version", "v1"}, {"zone", "a"}, {"slots", 9}}},
          {"status",
           {{"state", "ready"}, {"sequence", 4}, {"cold_remaining_ms", 0}}}};
}

json goodDocument() {
  return {{"version", 7},
          {"routes",
           {{"r1",
             {{"host", "h.example"},
              {"prefix", "/a/"},
              {"kind", "unsafe"},
              {"timeout_ms", 1200},
              {"target_latency_ms", 400},
              {"priority", 1},
              {"attempts", 2},
              {"service", "s"}}},
            {"r2",
             {{"host", "h.example"},
              {"prefix", "/a/b/"},
              {"kind", "safe"},
              {"timeout_ms", 1000},
              {"priority", 2},
              {"attempts", 3},
              {"traffic_split",
               {{{"service", "s"}, {"weight", 90}},
                {{"service", "t"}, {"weight", 10}}}}}}}},
          {"services",
           {{"s",
             {{"health_check_path", "/health"},
              {"connection_limit", 220},
              {"cold_per_s", 20.0}}}}},
          {"limits", json::object()}};
}

Checked<ConfigurationPtr> build(std::uint64_t version,
                                Checked<std::string> text,
                                const Configuration &previous) {
  if (!text)
    return std::move(text).error();
  return Configuration::makeFromRecords(
      platform::makeConfigurationHead(version), std::move(text).value(),
      previous);
}

Checked<ConfigurationPtr> decode(const platform::OperatorRows &rows) {
  return build(5, platform::encodeRows(rows), *Configuration::makeEmpty());
}

platform::Heartbeat beat(const std::string &name, std::int64_t startedAtMs,
                         std::uint64_t sequence) {
  platform::Heartbeat heartbeat;
  heartbeat.target.bootId = name;
  heartbeat.startedAt = WallTime(std::chrono::milliseconds(startedAtMs));
  heartbeat.sequence = sequence;
  return heartbeat;
}

/** As deep as a row of the store can hold, and deeper. */
constexpr std::size_t NestedLevels = 200'000;

std::string nested() {
  return std::string(NestedLevels, '[') + std::string(NestedLevels, ']');
}

} // namespace

TEST_GROUP(PlatformDialect){};

TEST(PlatformDialect, AnswersAreJudgedByWhatTheyProve) {
  const AnswerCase cases[] = {
      {"signed answer",
       {{Id, "1"}, {Signature, "x"}},
       200,
       AnswerKind::Genuine},
      {"signed failure",
       {{Id, "1"}, {Signature, "x"}},
       500,
       AnswerKind::Genuine},
      {"unsigned", {{Id, "1"}}, 200, AnswerKind::Foreign},
      {"of another request",
       {{Id, "2"}, {Signature, "x"}},
       200,
       AnswerKind::Foreign},
      {"not-run of another request",
       {{Id, "2"}, {NotExecuted, "1"}},
       503,
       AnswerKind::Foreign},
      {"shed", {{Id, "1"}, {NotExecuted, "1"}}, 503, AnswerKind::NotRun},
      {"shed without an identifier",
       {{NotExecuted, "1"}},
       503,
       AnswerKind::NotRun},
      {"503 without the proof", {{Id, "1"}}, 503, AnswerKind::Foreign},
      {"another target", {}, 421, AnswerKind::WrongTarget},
      {"another target, with the identifier",
       {{Id, "1"}, {NotExecuted, "1"}},
       421,
       AnswerKind::WrongTarget},
      {"another target, said of another request",
       {{Id, "2"}, {NotExecuted, "1"}},
       421,
       AnswerKind::Foreign},
      {"encoded body",
       {{Id, "1"}, {Signature, "x"}, {"Content-Encoding", "gzip"}},
       200,
       AnswerKind::Foreign}};
  const CallProtocol dialect = platform::makePlatformCallProtocol();
  for (const AnswerCase &it : cases)
    CHECK_TEXT(dialect.classify(it.status, it.headers, "1") == it.kind,
               it.name);
}

TEST(PlatformDialect, LoadHasAnOptionalSlowdown) {
  const CallProtocol dialect = platform::makePlatformCallProtocol();
  const auto read = [&](const std::string &text) {
    return dialect.readLoad({{"X-Plantainhatch-Server-Load", text}});
  };
  CHECK_EQUAL(3, read("3,1,8,700")->running);
  DOUBLES_EQUAL(7.0, read("3,1,8,700")->slowdown, 0.001);
  DOUBLES_EQUAL(1.0, read("3,1,8")->slowdown, 0.001);
  CHECK_FALSE(read("three,1,8").has_value());
  CHECK_FALSE(dialect.readLoad({}).has_value());
}

TEST_GROUP(Heartbeats) {
  DepartureList departures;
  platform::HeartbeatFilter order{departures};
};

TEST(Heartbeats, GoodOneNamesATarget) {
  const auto read = platform::parseHeartbeat("i-1", goodHeartbeat().dump());
  CHECK(read.has_value());
  CHECK_EQUAL(9, read.value().target.slots);
  CHECK_EQUAL(4, read.value().sequence);
  CHECK_FALSE(read.value().isLeaving);
}

// Guards against names that end a line of the log, or a header.
TEST(Heartbeats, NamesWithControlCharactersNameNoTarget) {
  for (const char *const service : {"a\r\nX-Odd: 1", "a\nb", "a\x7f", "\x01"}) {
    json body = goodHeartbeat();
    body["information"]["service"] = service;
    CHECK_FALSE(platform::parseHeartbeat("i-1", body.dump()).has_value());
  }
}

TEST(Heartbeats, EachFaultNamesItsFieldAndNoTarget) {
  const std::pair<const char *, json> faults[] = {
      {"/address", "nowhere"},      {"/address", 3},
      {"/born", "yesterday"},       {"/information/service", 7},
      {"/information/slots", 0},    {"/information/slots", "many"},
      {"/status/state", "resting"}, {"/status/sequence", -1},
      {"/status/sequence", 1.5},    {"/status/cold_remaining_ms", nullptr}};
  for (const auto &[path, value] : faults) {
    json body = goodHeartbeat();
    body[json::json_pointer(path)] = value;
    const auto read = platform::parseHeartbeat("i-1", body.dump());
    CHECK_TEXT(!read.has_value(), path);
    std::string field(path + 1);
    std::ranges::replace(field, '/', '.');
    STRCMP_EQUAL(field.c_str(), read.error().front().field.c_str());
  }
  CHECK(!platform::parseHeartbeat("i-1", "{").has_value());
}

// Guards against a worker that is not used, as a figure of its heartbeats is a
// fraction or is written as one.
TEST(Heartbeats, FiguresAreReadInEachFormOfANumber) {
  json body = goodHeartbeat();
  body["status"]["cold_remaining_ms"] = 812.4;
  body["information"]["slots"] = 9.0;
  body["status"]["sequence"] = 4e0;
  const auto read = platform::parseHeartbeat("i-1", body.dump());
  CHECK(read.has_value());
  CHECK_EQUAL(813, read.value().coldTime.count());
  CHECK_EQUAL(9, read.value().target.slots);
  CHECK_EQUAL(4, read.value().sequence);
}

// Guards against a process that ends, or a span of time that overflows, at one
// odd heartbeat of another writer.
TEST(Heartbeats, OddOnesNameNoTarget) {
  const auto isRejected = [](const std::string &body) {
    return !platform::parseHeartbeat("i-1", body).has_value();
  };
  CHECK(isRejected(std::string(NestedLevels, '[')));
  CHECK(isRejected(nested()));
  json body = goodHeartbeat();
  for (const char *const address :
       {"127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:-1",
        "127.0.0.1:99999999999999999999", "127.0.0.1:", "127.0.0.1:8e3"}) {
    body["address"] = address;
    CHECK_TEXT(isRejected(body.dump()), address);
  }
  const std::string sound = goodHeartbeat().dump();
  for (const char *const number :
       {"9223372036854775807", "9223372036854775808", "18446744073709551615",
        "1e400", "1e30", "99999999999999999999999999"}) {
    json odd = goodHeartbeat();
    odd["status"]["cold_remaining_ms"] = "NUMBER";
    std::string text = odd.dump();
    text.replace(text.find("\"NUMBER\""), 8, number);
    CHECK_TEXT(isRejected(text), number);
  }
  CHECK_FALSE(isRejected(sound));
  body = goodHeartbeat();
  body["extra"] = "NESTED";
  std::string text = body.dump();
  text.replace(text.find("\"NESTED\""), 8, nested());
  CHECK_FALSE(isRejected(text));
}

// Guards against an overflow by a cold time that is too large.
TEST(Heartbeats, ColdTimeOfAHealthAnswerThatIsTooLargeIsIgnored) {
  const auto coldTime = [](const char *text) {
    return platform::readColdTime({{"X-Plantainhatch-Cold-Milliseconds", text}})
        .count();
  };
  CHECK_EQUAL(1'500, coldTime("1500"));
  CHECK_EQUAL(0, coldTime("9223372036854775807"));
  CHECK_EQUAL(0, coldTime("99999999999999999999"));
}

TEST(Heartbeats, AllFaultsAreReportedTogether) {
  const auto read = platform::parseHeartbeat("i-1", "{}");
  CHECK(read.error().size() >= 5);
}

TEST(Heartbeats, HeldUpOneOfTheSameStartIsNoNews) {
  CHECK(order.accept(beat("i-1", 100, 4)));
  CHECK_FALSE(order.accept(beat("i-1", 100, 3)));
  CHECK_FALSE(order.accept(beat("i-1", 100, 4)));
  CHECK(order.accept(beat("i-1", 100, 5)));
}

TEST(Heartbeats, HeldUpOneOfAFormerStartIsNoNews) {
  CHECK(order.accept(beat("i-1", 100, 9)));
  CHECK(order.accept(beat("i-2", 200, 1)));
  CHECK_FALSE(order.accept(beat("i-1", 100, 10)));
}

TEST(Heartbeats, StartUnderTheSameNameCountsAnew) {
  CHECK(order.accept(beat("i-1", 100, 9)));
  CHECK(order.accept(beat("i-1", 200, 1)));
}

TEST(Heartbeats, TargetThatLeftDoesNotComeBackByAnyOfItsHeartbeats) {
  CHECK(order.accept(beat("i-1", 100, 4)));
  departures.add({"i-1", WallTime(std::chrono::milliseconds(100))});
  CHECK_FALSE(order.accept(beat("i-1", 100, 5)));
  CHECK(order.accept(beat("i-1", 300, 1)));
}

TEST_GROUP(OperatorRows) {
  platform::OperatorRows rows{{"config", goodDocument().dump()}};
};

TEST(OperatorRows, RoutesBecomeRules) {
  const auto read = decode(rows);
  CHECK(read.has_value());
  const Configuration &configuration = *read.value();
  const ServiceRule *const rule =
      configuration.findService("h.example", "/a/x");
  const ServiceRule *const longer =
      configuration.findService("h.example", "/a/b/x");
  CHECK(rule != nullptr);
  CHECK(longer != nullptr);
  if (rule == nullptr || longer == nullptr)
    return;
  CHECK_EQUAL(2, rule->attempts);
  CHECK_FALSE(*rule->isRetryable);
  LONGS_EQUAL(1200, rule->timeout.count());
  CHECK(rule->targetLatency == std::chrono::milliseconds(400));
  CHECK_FALSE(longer->targetLatency.has_value());
  CHECK_EQUAL(2, longer->trafficSplit.size());
  CHECK_EQUAL(10, longer->trafficSplit[1].weight);
  CHECK(configuration.findService("other.example", "/a/x") == nullptr);
  CHECK(configuration.findService("h.example", "/a") == nullptr);
  DOUBLES_EQUAL(20.0, configuration.findTraits("s")->coldCallsPerSecond, 0.01);
}

TEST(OperatorRows, EvacuationTakesTheDomainOutUntilItsRowIsGone) {
  rows["evacuate/zone-1"] = "{}";
  CHECK(decode(rows).value()->findDomainOut("zone-1") != nullptr);
  rows.erase("evacuate/zone-1");
  CHECK(decode(rows).value()->findDomainOut("zone-1") == nullptr);
}

// Guards against parts that get nothing, or a document that is refused, as
// weights are shares of one.
TEST(OperatorRows, WeightsThatAreFractionsKeepTheirRatio) {
  const std::pair<json, std::vector<unsigned>> cases[] = {
      {{0.9, 0.1}, {1'000'000, 111'111}},     {{0.5, 0}, {1'000'000, 0}},
      {{2.5, 5}, {500'000, 1'000'000}},       {{1e-30, 1.5}, {1, 1'000'000}},
      {{1e300, 5e299}, {1'000'000, 500'000}}, {{90, 10}, {90, 10}}};
  for (const auto &[given, weights] : cases) {
    json document = goodDocument();
    json split = json::array();
    for (const json &it : given)
      split.push_back({{"service", "s"}, {"weight", it}});
    document["routes"]["odd"] = {{"host", "h.example"},
                                 {"prefix", "/odd/"},
                                 {"kind", "safe"},
                                 {"traffic_split", split}};
    const auto built = decode({{"config", document.dump()}});
    CHECK_TEXT(built.has_value(), given.dump().c_str());
    const auto *const rule = built.value()->findService("h.example", "/odd/x");
    for (std::size_t n = 0; n < weights.size(); ++n)
      CHECK_EQUAL_TEXT(weights[n], rule->trafficSplit[n].weight,
                       given.dump().c_str());
  }
}

TEST(OperatorRows, EachFaultNamesItsPlace) {
  const std::pair<const char *, json> faults[] = {
      {"/routes/r1/host", 5},
      {"/routes/r1/kind", "risky"},
      {"/routes/r1/timeout_ms", 0},
      {"/routes/r1/attempts", "two"},
      {"/routes/r2/traffic_split", json::array()},
      {"/services/s/health_check_path", nullptr},
      {"/routes", json::array()},
      {"/routes/r1/host", ""},
      {"/routes/r1/prefix", ""},
      {"/routes/r1/service", ""},
      {"/services/s/health_check_path", ""}};
  for (const auto &[path, value] : faults) {
    json document = goodDocument();
    document[json::json_pointer(path)] = value;
    const auto read = decode({{"config", document.dump()}});
    CHECK_TEXT(!read.has_value(), path);
    std::string field(path + 1);
    std::ranges::replace(field, '/', '.');
    CHECK_TEXT(
        std::ranges::any_of(
            read.error(), [&](const Finding &it) { return it.field == field; }),
        path);
  }
}

// Guards against a process that ends at a field that nests very deeply.
TEST(OperatorRows, DeeplyNestedFieldsDoNotEndTheProcess) {
  const std::string deep = nested();
  const auto read = [](const std::string &document) {
    return decode({{"config", document}});
  };
  CHECK_FALSE(read(deep).has_value());
  CHECK_FALSE(read(R"({"routes":)" + deep + R"(,"services":{}})").has_value());
  CHECK(
      read(R"({"routes":{},"services":{},"extra":)" + deep + "}").has_value());
  CHECK(read(R"({"routes":{"r":{"host":"h","prefix":"/p/","kind":"safe",)"
             R"("service":"s","extra":)" +
             deep + R"(}},"services":{}})")
            .has_value());
}

TEST(OperatorRows, UnreadableRowsNameNothing) {
  CHECK(!decode({{"config", "{"}}).has_value());
  CHECK(!decode({{"evacuate/zone-1", "{}"}}).has_value());
  const auto read = decode(rows).value();
  CHECK(!Configuration::buildFromRecords(read->head(), read->text() + " ",
                                         *Configuration::makeEmpty())
             .has_value());
  CHECK(!Configuration::buildFromRecords(read->head(), read->text() + "x\n",
                                         *Configuration::makeEmpty())
             .has_value());
}

// Guards against a change of one route that costs as much as the whole table.
TEST(OperatorRows, ChangeOfOneRouteParsesNoOther) {
  json document = goodDocument();
  for (unsigned n = 0; n < 2'800; ++n) {
    json route = document["routes"]["r1"];
    route["prefix"] = "/many-" + std::to_string(n) + "/";
    document["routes"]["many-" + std::to_string(n)] = route;
  }
  rows["config"] = document.dump();
  const auto before = decode(rows).value();
  CHECK_EQUAL(2'802, before->serviceCount());
  document["routes"]["many-700"]["timeout_ms"] = 700;
  document["version"] = 8;
  const auto after =
      build(6, platform::encodeChanges(*before, {{"config", document.dump()}}),
            *before);
  CHECK(after.has_value());
  const ServiceRule *const changed =
      after.value()->findService("h.example", "/many-700/x");
  LONGS_EQUAL(700, changed->timeout.count());
  LONGS_EQUAL(
      1'200,
      after.value()->findService("h.example", "/many-701/x")->timeout.count());
  // The route, and the traits of the one service.
  CHECK_EQUAL(2, after.value()->parsedRecordCount());
  CHECK(TextDelta::between(before->text(), after.value()->text())
            .insertedBytes() < 256);
}

// Guards against an order that only some nodes take for a new one, and against
// an odd row that keeps the configuration from coming into force.
TEST(OperatorRows, RolloutIsAnOrderUntilItsRowIsGone) {
  const std::string order =
      R"({"service":"s","target":"v2","duration_s":12.5})";
  rows["rollout/s"] = {order, 17};
  rows["rollout/odd"] = {R"({"target":7})", 18};
  const auto all = decode(rows).value();
  CHECK_EQUAL(1, all->rollouts().size());
  const RolloutRule &rule = all->rollouts().at("s");
  STRCMP_EQUAL("v2", rule.softwareVersion.c_str());
  CHECK(rule.duration == std::chrono::milliseconds(12'500));
  CHECK_EQUAL(17, rule.order);
  const auto again =
      build(6,
            platform::encodeChanges(
                *all, {{"rollout/s", platform::OperatorRow(order, 21)}}),
            *all)
          .value();
  CHECK_EQUAL(21, again->rollouts().at("s").order);
  rows["rollout/s"] = {order, 21};
  STRCMP_EQUAL(decode(rows).value()->text().c_str(), again->text().c_str());
  const auto gone =
      build(7, platform::encodeChanges(*again, {{"rollout/s", {}}}), *again)
          .value();
  CHECK(gone->rollouts().empty());
}

// Guards against rows that change the same table in different ways at the node
// that reads them all and at the one that hears of the changes.
TEST(OperatorRows, ChangesGiveTheSameTextAsAllRows) {
  const auto before = decode(rows).value();
  json document = goodDocument();
  document["routes"].erase("r2");
  const platform::OperatorRowChanges changes{{"config", document.dump()},
                                             {"evacuate/zone-1", "{}"}};
  const auto after =
      build(6, platform::encodeChanges(*before, changes), *before).value();
  STRCMP_EQUAL(decode({{"config", document.dump()}, {"evacuate/zone-1", "{}"}})
                   .value()
                   ->text()
                   .c_str(),
               after->text().c_str());
  const auto back =
      build(7, platform::encodeChanges(*after, {{"evacuate/zone-1", {}}}),
            *after)
          .value();
  CHECK(back->findDomainOut("zone-1") == nullptr);
  CHECK_EQUAL(1, back->serviceCount());
  STRCMP_EQUAL("s", back->findTraits("s")->service.c_str());
}
