/** \file
 * Which settings a running node takes over from a changed file. */
#include "base/SettingsUpdate.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace plantainhatch;

namespace {

Address at(std::uint16_t port) { return {"10.0.0.7", port}; }

NodeSettings makeSettings() {
  NodeSettings settings;
  settings.cluster = "c";
  settings.failureDomain = "d";
  settings.callers = at(1);
  settings.peers = at(2);
  settings.targets = at(3);
  settings.platform = "http://10.0.0.1:9000";
  settings.key = "0123456789abcdef";
  settings.site.emplace();
  settings.site->service = "former";
  return settings;
}

struct Change {
  const char *field;
  void (*make)(NodeSettings &);
};

} // namespace

TEST_GROUP(SettingsUpdate) { const NodeSettings current = makeSettings(); };

TEST(SettingsUpdate, WhatNoSocketDependsOnIsApplied) {
  const Change changes[] = {
      {"platform", [](auto &it) { it.platform = "http://10.0.0.2:9000"; }},
      {"seeds", [](auto &it) { it.seeds = {at(9)}; }},
      {"site.target", [](auto &it) { it.site->target = at(9); }},
      {"site.service", [](auto &it) { it.site->service = "next"; }},
      {"site.stopGraceSeconds",
       [](auto &it) { it.site->stopGrace = std::chrono::seconds(9); }},
      {"site.coldOverage", [](auto &it) { it.site->coldOverage = 9; }},
      {"site.coldSlack", [](auto &it) { it.site->coldSlack = 9; }},
      {"site.retryRatio", [](auto &it) { it.site->retryRatio = 0.9; }},
      {"site.retryExtra", [](auto &it) { it.site->retryExtra = 9; }},
      {"site.rollout", [](auto &it) { it.site->rollout = RolloutSettings{}; }},
      {"site.probesPerSecond", [](auto &it) { it.site->probesPerSecond = 9; }}};
  for (const Change &change : changes) {
    NodeSettings next = current;
    change.make(next);
    const SettingsUpdate update = makeSettingsUpdate(current, next);
    CHECK_TEXT(update.deferred.empty(), change.field);
    CHECK_EQUAL_TEXT(1, update.applied.size(), change.field);
    STRCMP_EQUAL(change.field, update.applied.front().c_str());
    // The new value is in force, so that nothing is left to change.
    CHECK_TEXT(makeSettingsUpdate(update.settings, next).applied.empty(),
               change.field);
  }
}

TEST(SettingsUpdate, AddressesAndIdentityWaitForTheNextStart) {
  const Change changes[] = {
      {"cluster", [](auto &it) { it.cluster = "other"; }},
      {"failureDomain", [](auto &it) { it.failureDomain = "other"; }},
      {"callers", [](auto &it) { it.callers = at(9); }},
      {"peers", [](auto &it) { it.peers = at(9); }},
      {"targets", [](auto &it) { it.targets = at(9); }},
      {"key", [](auto &it) { it.key = "fedcba9876543210"; }},
      {"site", [](auto &it) { it.site.reset(); }},
      {"site.forwards", [](auto &it) { it.site->forwards = at(9); }},
      {"site.readiness", [](auto &it) { it.site->readiness = at(9); }},
      {"site.metrics", [](auto &it) { it.site->metrics = at(9); }}};
  for (const Change &change : changes) {
    NodeSettings next = current;
    change.make(next);
    const SettingsUpdate update = makeSettingsUpdate(current, next);
    CHECK_TEXT(update.applied.empty(), change.field);
    CHECK_EQUAL_TEXT(1, update.deferred.size(), change.field);
    STRCMP_EQUAL(change.field, update.deferred.front().c_str());
    CHECK_TEXT(makeSettingsUpdate(update.settings, current).deferred.empty(),
               change.field);
  }
}
