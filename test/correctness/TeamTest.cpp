/** \file
 * Teams and their keys, without a network. */
#include "base/Digest.h"
#include "platform/decodeConfiguration.h"
#include "request/TeamKey.h"
#include "version/RuleRecord.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using nlohmann::json;

namespace {

json documentWith(const json &teams) {
  json document{{"version", 7},
                {"routes",
                 {{"open",
                   {{"host", "h.example"},
                    {"prefix", "/open/"},
                    {"kind", "safe"},
                    {"service", "s"},
                    {"public", true}}},
                  {"kept",
                   {{"host", "h.example"},
                    {"prefix", "/kept/"},
                    {"kind", "safe"},
                    {"service", "s"}}}}},
                {"services", {{"s", {{"health_check_path", "/health"}}}}}};
  if (!teams.is_null())
    document["tenants"] = teams;
  return document;
}

Checked<ConfigurationPtr> decode(const json &document) {
  auto text = platform::encodeRows({{"config", document.dump()}});
  if (!text)
    return std::move(text).error();
  return Configuration::makeFromRecords(platform::makeConfigurationHead(7),
                                        std::move(text).value(),
                                        *Configuration::makeEmpty());
}

const json TwoTeams{{"red",
                     {{"api_keys", {"key-one", "key-two"}},
                      {"priority", 3},
                      {"rate_per_s", 12.5},
                      {"burst", 40}}},
                    {"blue", {{"api_keys", {"key-three"}}}}};

} // namespace

TEST_GROUP(Teams){static TeamOfCall find(const Configuration &configuration,
                                         const char *path,
                                         const HeaderList &headers){
    return findTeamOfCall(configuration,
                          *configuration.findService("h.example", path),
                          readKeyDigest(headers));
}
}
;

TEST(Teams, KeyNamesItsTeamOnRoutesThatNeedOne) {
  const ConfigurationPtr it = decode(documentWith(TwoTeams)).value();
  const TeamOfCall known =
      find(*it, "/kept/x", {{"authorization", "bearer key-two"}});
  CHECK(known.status == KeyStatus::Held);
  STRCMP_EQUAL("red", known.team->name.c_str());
  CHECK_EQUAL(3, *known.team->priority);
  DOUBLES_EQUAL(12.5, known.team->callsPerSecond, 0.001);
  DOUBLES_EQUAL(40, known.team->burst, 0.001);
  CHECK(find(*it, "/kept/x", {}).status == KeyStatus::Unknown);
  CHECK(find(*it, "/kept/x", {{"Authorization", "Bearer other"}}).status ==
        KeyStatus::Unknown);
  CHECK(find(*it, "/open/x", {}).status == KeyStatus::NotNeeded);
  const TeamRule &blue = it->teamRules().at("blue");
  CHECK_FALSE(blue.priority.has_value());
  CHECK_FALSE(blue.hasQuota());
}

TEST(Teams, WithoutTeamsNoRouteNeedsAKey) {
  const ConfigurationPtr it = decode(documentWith(nullptr)).value();
  CHECK(find(*it, "/kept/x", {}).status == KeyStatus::NotNeeded);
  CHECK_FALSE(it->hasTeams());
}

// Guards against a key that is kept, or goes to other nodes, as plain text.
TEST(Teams, TextOfAVersionHoldsNoKey) {
  const ConfigurationPtr it = decode(documentWith(TwoTeams)).value();
  CHECK(it->text().find("key-") == std::string::npos);
  CHECK(it->text().find(digestOf("key-one")) != std::string::npos);
}

TEST(Teams, VersionTravelsWithItsTeams) {
  const ConfigurationPtr it = decode(documentWith(TwoTeams)).value();
  const auto copy = Configuration::buildFromRecords(
      it->head(), it->text(), *Configuration::makeEmpty());
  CHECK(copy.has_value());
  CHECK(copy.value()->findTeam(digestOf("key-three")) != nullptr);
  CHECK(find(*copy.value(), "/kept/x", {}).status == KeyStatus::Unknown);
}

// Guards against a version in which a key names two teams, and against a
// message that tells a key.
TEST(Teams, FaultsNameTheirPlaceAndNoKey) {
  const std::pair<const char *, json> faults[] = {
      {"tenants.red.api_keys",
       {{"blue", {{"api_keys", {"secret-1"}}}},
        {"red", {{"api_keys", {"secret-1"}}}}}},
      {"tenants.", {{"", {{"api_keys", {"secret-1"}}}}}},
      {"tenants.a\r\nb", {{"a\r\nb", {{"api_keys", {"secret-1"}}}}}},
      {"tenants.red.api_keys", {{"red", {{"api_keys", "secret-1"}}}}},
      {"tenants.red.api_keys", {{"red", {{"api_keys", {"secret-1", ""}}}}}},
      {"tenants.red.api_keys", {{"red", {{"api_keys", {"secret-1", 5}}}}}},
      {"tenants.red.rate_per_s",
       {{"red", {{"api_keys", {"secret-1"}}, {"rate_per_s", -1}}}}},
      {"tenants.red.priority",
       {{"red", {{"api_keys", {"secret-1"}}, {"priority", "first"}}}}},
      {"tenants", json::array({"secret-1"})}};
  for (const auto &[path, teams] : faults) {
    const auto read = decode(documentWith(teams));
    CHECK_TEXT(!read.has_value(), path);
    STRCMP_EQUAL(path, read.error().front().field.c_str());
    CHECK_TEXT(toString(read.error()).find("secret") == std::string::npos,
               path);
  }
}

TEST(Teams, OneTeamMayNameAKeyTwice) {
  const json teams{{"red", {{"api_keys", {"key-one", "key-one"}}}}};
  CHECK_EQUAL(1, decode(documentWith(teams))
                     .value()
                     ->teamRules()
                     .at("red")
                     .keyDigests.size());
}

TEST(Teams, OnlyOneBearerKeyIsRead) {
  const auto digest = readKeyDigest({{"Authorization", "Bearer  key-one "}});
  CHECK(digest.has_value());
  STRCMP_EQUAL(digestOf("key-one").c_str(), digest->c_str());
  for (const HeaderList &odd :
       {HeaderList{}, HeaderList{{"Authorization", "key-one"}},
        HeaderList{{"Authorization", "Basic key-one"}},
        HeaderList{{"Authorization", "Bearer "}},
        HeaderList{{"Authorization", "Bearer"}},
        HeaderList{{"Authorization", "Bearer key-one"},
                   {"authorization", "Bearer key-two"}}})
    CHECK_FALSE(readKeyDigest(odd).has_value());
}

TEST(Teams, RulesFileNamesTeamsByTheDigestsOfTheirKeys) {
  const std::string text = "service s path /s teams  # Desk\n"
                           "team red key " +
                           digestOf("key-one") +
                           " priority 2 rate 5/s burst 9  # Desk\n";
  const auto it =
      Configuration::build({1, digestOf(text), "apply", "T", "c", 0}, text);
  CHECK(it.has_value());
  const TeamRule *const team = it.value()->findTeam(digestOf("key-one"));
  CHECK(team != nullptr);
  if (team == nullptr)
    return;
  CHECK_EQUAL(2, *team->priority);
  DOUBLES_EQUAL(5, team->callsPerSecond, 0.001);
  DOUBLES_EQUAL(9, team->burst, 0.001);
  CHECK(it.value()->findService("/s")->needsTeamKey);
}
