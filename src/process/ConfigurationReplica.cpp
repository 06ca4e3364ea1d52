#include "process/ConfigurationReplica.h"

#include "version/OperatorDocument.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>

namespace plantainhatch {

std::size_t ConfigurationUpdate::textSize() const {
  return std::transform_reduce(deltas.begin(), deltas.end(),
                               snapshot ? snapshot->second.size() : 0,
                               std::plus<>(), [](const ConfigurationDelta &it) {
                                 return it.textDelta.insertedBytes();
                               });
}

AdoptResult ConfigurationReplica::compare(const ConfigurationHead &head) const {
  if (head.version == version() && head.digest != active->head().digest)
    return AdoptResult::Conflict;
  return head.version <= version() || bringsBackDocument(head, active->head())
             ? AdoptResult::NotNewer
             : AdoptResult::Adopted;
}

AdoptResult ConfigurationReplica::adopt(const ConfigurationHead &head,
                                        std::string text) {
  const AdoptResult result = compare(head);
  if (result != AdoptResult::Adopted)
    return result;
  const auto built = builder(head, std::move(text), *active);
  if (!built)
    return AdoptResult::Invalid;
  install(built.value());
  return result;
}

AdoptResult ConfigurationReplica::adopt(const ConfigurationPtr &built) {
  const AdoptResult result = compare(built->head());
  if (result == AdoptResult::Adopted)
    install(built);
  return result;
}

AdoptResult ConfigurationReplica::adopt(const ConfigurationUpdate &update) {
  if (update.snapshot)
    return adopt(update.snapshot->first, update.snapshot->second);
  if (update.fromVersion != version() || update.deltas.empty())
    return AdoptResult::NotNewer;
  AdoptResult result = AdoptResult::NotNewer;
  for (const ConfigurationDelta &next : update.deltas) {
    auto text = next.textDelta.apply(active->text());
    if (!text)
      return AdoptResult::Invalid;
    result = adopt(next.head, std::move(*text));
    if (result != AdoptResult::Adopted)
      return result;
  }
  return result;
}

std::optional<ConfigurationUpdate>
ConfigurationReplica::updateFor(std::uint64_t peerVersion,
                                const std::string &digest) const {
  if (peerVersion >= version())
    return std::nullopt;
  ConfigurationUpdate update{peerVersion, {}, std::nullopt};
  if (digest == active->head().digest) {
    update.deltas.push_back({active->head(), TextDelta{}});
    return update;
  }
  const auto first = std::ranges::find_if(steps, [&](const Step &it) {
    return it.fromVersion == peerVersion && it.fromDigest == digest;
  });
  if (first != steps.end())
    std::ranges::transform(first, steps.end(),
                           std::back_inserter(update.deltas), &Step::delta);
  else
    update.snapshot.emplace(active->head(), active->text());
  return update;
}

void ConfigurationReplica::install(const ConfigurationPtr &next) {
  keep({version(),
        active->head().digest,
        {next->head(), TextDelta::between(active->text(), next->text())}});
  active = next;
}

void ConfigurationReplica::keep(Step step) {
  stepBytes += step.delta.textDelta.insertedBytes();
  steps.push_back(std::move(step));
  while (!steps.empty() &&
         (steps.size() > MaxDeltas || stepBytes > MaxDeltaBytes)) {
    stepBytes -= steps.front().delta.textDelta.insertedBytes();
    steps.pop_front();
  }
}

} // namespace plantainhatch
