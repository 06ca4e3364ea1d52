#include "base/Settings.h"

#include "base/SettingsReader.h"

#include <glib.h>

#include <algorithm>
#include <filesystem>
#include <memory>

namespace plantainhatch {

namespace {

using internal::SettingsReader;

constexpr std::size_t MinKeySize = 16;

std::string readKey(SettingsReader &reader, const std::string &settingsFile) {
  if (reader.has("key")) {
    std::string key = reader.requireText("key");
    if (key.size() < MinKeySize)
      reader.report("key", "the key is shorter than " +
                               std::to_string(MinKeySize) + " bytes");
    return key;
  }
  const std::string name = reader.requireText("keyFile");
  if (name.empty())
    return {};
  const auto path = std::filesystem::path(settingsFile).parent_path() / name;
  auto content = readFile(path.string());
  if (!content) {
    reader.report("keyFile", content.error().front().message);
    return {};
  }
  if (content.value().size() < MinKeySize)
    reader.report("keyFile", "the key is shorter than " +
                                 std::to_string(MinKeySize) + " bytes");
  return std::move(content).value();
}

void requireDistinctPorts(SettingsReader &reader,
                          const NodeSettings &settings) {
  if (!settings.callers.isEmpty() && settings.callers == settings.targets)
    reader.report("targets",
                  "has the same address as callers; give it a port of its own");
  if (!settings.peers.isEmpty() && settings.peers == settings.callers)
    reader.report("peers",
                  "has the same address as callers; give it a port of its own");
  if (!settings.peers.isEmpty() && settings.peers == settings.targets)
    reader.report("peers",
                  "has the same address as targets; give it a port of its own");
}

std::chrono::milliseconds readSeconds(SettingsReader &reader,
                                      const std::string &field,
                                      std::chrono::milliseconds least,
                                      std::chrono::milliseconds most) {
  using Seconds = std::chrono::duration<double>;
  const double seconds = reader.requireNumber(field, Seconds(least).count(),
                                              Seconds(most).count());
  return std::chrono::round<std::chrono::milliseconds>(Seconds(seconds));
}

std::chrono::milliseconds readMilliseconds(SettingsReader &reader,
                                           const std::string &field,
                                           std::chrono::milliseconds least,
                                           std::chrono::milliseconds most) {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  const double ms = reader.requireNumber(field, Milliseconds(least).count(),
                                         Milliseconds(most).count());
  return std::chrono::floor<std::chrono::milliseconds>(Milliseconds(ms));
}

QuotaSettings readQuota(SettingsReader &reader) {
  constexpr double MostSlack = 1e6;
  return {reader.requireNumber("overage", 0, 1),
          reader.requireNumber("slack", 0, MostSlack)};
}

RolloutSettings readRollout(SettingsReader &reader) {
  RolloutSettings rollout;
  rollout.exposureShare = reader.requireNumber("exposureShare", 0, 1);
  rollout.rollback =
      readMilliseconds(reader, "rollbackMs", RolloutSettings::MinRollback,
                       RolloutSettings::MaxRollback);
  return rollout;
}

SiteSettings readSite(SettingsReader &reader) {
  constexpr double MostRate = 1e6;
  SiteSettings site;
  site.forwards = reader.requireAddress("forwards");
  site.readiness = reader.requireAddress("readiness");
  site.metrics = reader.requireAddress("metrics");
  site.target = reader.requireAddress("target");
  site.service = reader.requireName("service");
  site.stopGrace =
      readSeconds(reader, "stopGraceSeconds", SiteSettings::MinStopGrace,
                  SiteSettings::MaxStopGrace);
  site.coldOverage = reader.requireNumber("coldOverage", 1, MostRate);
  site.coldSlack = reader.requireNumber("coldSlack", 0, MostRate);
  site.retryRatio = reader.requireNumber("retryRatio", 0, 1);
  site.retryExtra = reader.requireNumber("retryExtra", 0, MostRate);
  site.probesPerSecond = reader.requireNumber("probesPerSecond", 0, MostRate);
  if (reader.has("rollout")) {
    SettingsReader section = reader.section("rollout");
    site.rollout = readRollout(section);
    reader.absorb(section);
  }
  return site;
}

} // namespace

Checked<std::string> readFile(const std::string &fileName) {
  gchar *content = nullptr;
  gsize n = 0;
  GError *error = nullptr;
  if (!g_file_get_contents(fileName.c_str(), &content, &n, &error)) {
    Finding finding{fileName, 0, 0, {}, error->message};
    g_error_free(error);
    return Findings{std::move(finding)};
  }
  const std::unique_ptr<gchar, decltype(&g_free)> owned(content, g_free);
  return std::string(content, n);
}

Checked<NodeSettings> readNodeSettings(const std::string &fileName) {
  auto content = readFile(fileName);
  if (!content)
    return std::move(content).error();
  return parseNodeSettings(fileName, content.value());
}

Checked<NodeSettings> parseNodeSettings(const std::string &fileName,
                                        const std::string &content) {
  SettingsReader reader(fileName, content);
  NodeSettings settings;
  settings.cluster = reader.requireName("cluster");
  settings.failureDomain = reader.requireName("failureDomain");
  settings.callers = reader.requireAddress("callers");
  settings.peers = reader.requireAddress("peers");
  settings.targets = reader.requireAddress("targets");
  settings.platform = reader.requireUrl("platform");
  settings.seeds = reader.optionalAddresses("seeds");
  settings.key = readKey(reader, fileName);
  if (reader.has("keyRevocationMs"))
    settings.keyRevocation = readMilliseconds(reader, "keyRevocationMs",
                                              NodeSettings::MinKeyRevocation,
                                              NodeSettings::MaxKeyRevocation);
  if (reader.has("quota")) {
    SettingsReader section = reader.section("quota");
    settings.quota = readQuota(section);
    reader.absorb(section);
  }
  if (reader.has("site")) {
    SettingsReader section = reader.section("site");
    settings.site = readSite(section);
    reader.absorb(section);
  }
  requireDistinctPorts(reader, settings);
  reader.reportUnknownFields();
  if (!reader.findings().empty())
    return reader.findings();
  return settings;
}

Checked<OperatorSettings> readOperatorSettings(const std::string &fileName) {
  auto content = readFile(fileName);
  if (!content)
    return std::move(content).error();
  SettingsReader reader(fileName, content.value());
  OperatorSettings settings;
  settings.cluster = reader.requireName("cluster");
  settings.platform = reader.requireUrl("platform");
  settings.nodes = reader.optionalAddresses("nodes");
  settings.key = readKey(reader, fileName);
  reader.reportUnknownFields();
  if (!reader.findings().empty())
    return reader.findings();
  return settings;
}

} // namespace plantainhatch
