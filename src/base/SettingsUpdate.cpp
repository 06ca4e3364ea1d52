#include "base/SettingsUpdate.h"

namespace plantainhatch {

namespace {

/** Takes over or defers single fields. */
class FieldComparison {
public:
  explicit FieldComparison(SettingsUpdate &update) : update(update) {}

  template <typename T> void apply(const char *name, T &field, const T &next) {
    if (field == next)
      return;
    field = next;
    update.applied.emplace_back(name);
  }

  template <typename T>
  void defer(const char *name, const T &field, const T &next) {
    if (field != next)
      update.deferred.emplace_back(name);
  }

private:
  SettingsUpdate &update;
};

void compareSites(FieldComparison &fields, SiteSettings &current,
                  const SiteSettings &next) {
  fields.defer("site.forwards", current.forwards, next.forwards);
  fields.defer("site.readiness", current.readiness, next.readiness);
  fields.defer("site.metrics", current.metrics, next.metrics);
  fields.apply("site.target", current.target, next.target);
  fields.apply("site.service", current.service, next.service);
  fields.apply("site.stopGraceSeconds", current.stopGrace, next.stopGrace);
  fields.apply("site.coldOverage", current.coldOverage, next.coldOverage);
  fields.apply("site.coldSlack", current.coldSlack, next.coldSlack);
  fields.apply("site.retryRatio", current.retryRatio, next.retryRatio);
  fields.apply("site.retryExtra", current.retryExtra, next.retryExtra);
  fields.apply("site.probesPerSecond", current.probesPerSecond,
               next.probesPerSecond);
  fields.apply("site.rollout", current.rollout, next.rollout);
}

} // namespace

SettingsUpdate makeSettingsUpdate(const NodeSettings &current,
                                  const NodeSettings &next) {
  SettingsUpdate update{current, {}, {}};
  NodeSettings &settings = update.settings;
  FieldComparison fields(update);
  fields.defer("cluster", settings.cluster, next.cluster);
  fields.defer("failureDomain", settings.failureDomain, next.failureDomain);
  fields.defer("callers", settings.callers, next.callers);
  fields.defer("peers", settings.peers, next.peers);
  fields.defer("targets", settings.targets, next.targets);
  fields.defer("key", settings.key, next.key);
  fields.apply("platform", settings.platform, next.platform);
  fields.apply("seeds", settings.seeds, next.seeds);
  fields.apply("keyRevocationMs", settings.keyRevocation, next.keyRevocation);
  fields.apply("quota", settings.quota, next.quota);
  fields.defer("site", settings.site.has_value(), next.site.has_value());
  if (settings.site && next.site)
    compareSites(fields, *settings.site, *next.site);
  return update;
}

} // namespace plantainhatch
