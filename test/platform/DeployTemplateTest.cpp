/** \file
 * The settings that the platform writes from deploy/node.json.template. */
#include "base/Settings.h"
#include "support/Fleet.h"

#include <algorithm>
#include <map>
#include <optional>
#include <regex>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using std::chrono::milliseconds;

namespace {

/** Replaces each placeholder by its value, which is a JSON text for those that
 * ask for JSON. */
std::string fillIn(std::string text,
                   const std::map<std::string, std::string> &values) {
  for (const auto &[name, value] : values) {
    const std::string placeholder = "{{" + name + "}}";
    for (auto at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder, at + value.size()))
      text.replace(at, placeholder.size(), value);
  }
  return text;
}

/** Leaves out the sections about bounds that the site does not have. */
std::string fillInSections(const std::string &text,
                           const std::map<std::string, std::string> &values) {
  static const std::regex Section(R"(\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\})");
  std::string filled;
  auto rest = text.cbegin();
  for (std::sregex_iterator it(text.begin(), text.end(), Section), end;
       it != end; ++it) {
    filled.append(rest, (*it)[0].first);
    filled += values.contains((*it)[1].str()) ? (*it)[2].str() : "";
    rest = (*it)[0].second;
  }
  return filled.append(rest, text.cend());
}

/** As the platform writes it, with \p grace as the bound grace_s, and with the
 * bounds that only some sites have. */
std::string makeSettings(const std::string &grace,
                         const std::map<std::string, std::string> &more = {}) {
  const std::string text = fillInSections(
      readFile(PLANTAINHATCH_SOURCE "/deploy/node.json.template").value(),
      more);
  return fillIn(fillIn(text, more),
                {{"zone|json", R"("zone-0")"},
                 {"listen_addresses.outbound|json", R"("10.0.0.7:1")"},
                 {"listen_addresses.control|json", R"("10.0.0.7:2")"},
                 {"listen_addresses.inbound|json", R"("10.0.0.7:3")"},
                 {"listen_addresses.ready|json", R"("10.0.0.7:4")"},
                 {"application_address|json", R"("10.0.0.7:5")"},
                 {"service|json", R"("shop")"},
                 {"ip_address", "10.0.0.7"},
                 {"internal_port_range.0", "7380"},
                 {"platform.address", "10.0.0.1:9000"},
                 {"bounds.grace_s", grace},
                 {"bounds.cold_overage", "1.5"},
                 {"bounds.cold_slack", "5"},
                 {"bounds.budget_ratio", "0.2"},
                 {"bounds.budget_extra_tries", "60"},
                 {"bounds.probes_per_s", "60"}});
}

} // namespace

TEST_GROUP(DeployTemplate) {
  Fleet files{FleetPlan{}};

  Checked<NodeSettings> readWith(const std::string &grace) {
    return readNodeSettings(files.write("node.json", makeSettings(grace)));
  }
};

// Guards against a node that cuts all its calls at SIGTERM, as a grace that is
// a fraction was read as milliseconds.
TEST(DeployTemplate, GraceIsReadInEachFormOfANumber) {
  const std::pair<const char *, milliseconds> graces[] = {
      {"6", milliseconds(6'000)},     {"6.0", milliseconds(6'000)},
      {"6.5", milliseconds(6'500)},   {"6e0", milliseconds(6'000)},
      {"0.5", milliseconds(500)},     {"0.75", milliseconds(750)},
      {"12.25", milliseconds(12'250)}};
  for (const auto &[text, grace] : graces) {
    const auto settings = readWith(text);
    CHECK_TEXT(settings.has_value(), text);
    CHECK_TEXT(settings.value().requireSite().stopGrace == grace, text);
  }
}

// Guards against a stop that cuts calls, or never ends, as a grace far out of
// the sensible range is taken without a word.
TEST(DeployTemplate, GraceThatIsNoSensibleTimeIsReported) {
  for (const char *const text :
       {"0", "-6", "0.0065", "6e9", "true", "null", R"("6")", "[6]"}) {
    const auto settings = readWith(text);
    CHECK_TEXT(!settings.has_value(), text);
    const bool isNamed =
        std::ranges::any_of(settings.error(), [](const Finding &it) {
          return it.field == "site.stopGraceSeconds" &&
                 it.message.find("from 0.5 to 3600") != std::string::npos;
        });
    CHECK_TEXT(isNamed, toString(settings.error()).c_str());
  }
}

// Guards against roll-outs at a site that has no bounds for them, and against a
// template that gives no settings where it has.
TEST(DeployTemplate, RolloutsNeedTheBoundsOfTheSite) {
  CHECK(!readWith("6").value().requireSite().rollout);
  const auto settings = readNodeSettings(files.write(
      "node.json", makeSettings("6", {{"bounds.exposure_share", "0.1"},
                                      {"bounds.rollback_ms", "5000"}})));
  CHECK_TEXT(settings.has_value(),
             settings ? "" : toString(settings.error()).c_str());
  const auto &rollout = settings.value().requireSite().rollout;
  CHECK(rollout.has_value());
  DOUBLES_EQUAL(0.1, rollout->exposureShare, 1e-9);
  CHECK(rollout->rollback == milliseconds(5'000));
}

TEST(DeployTemplate, RolloutBoundsOutOfRangeAreReportedWithTheirFields) {
  const auto settings = readNodeSettings(files.write(
      "node.json", makeSettings("6", {{"bounds.exposure_share", "1.5"},
                                      {"bounds.rollback_ms", "20"}})));
  CHECK(!settings.has_value());
  const std::string faults = toString(settings.error());
  CHECK_TEXT(faults.find("site.rollout.exposureShare") != std::string::npos,
             faults.c_str());
  CHECK_TEXT(faults.find("site.rollout.rollbackMs") != std::string::npos,
             faults.c_str());
}
