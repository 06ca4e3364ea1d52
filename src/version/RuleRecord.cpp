#include "version/RuleRecord.h"

#include <boost/json.hpp>

namespace plantainhatch {

namespace {

namespace json = boost::json;

constexpr std::string_view ServicePrefix = "service ";
constexpr std::string_view TraitsPrefix = "traits ";
constexpr std::string_view TeamPrefix = "team ";

json::array toJson(const ServiceRule &rule) {
  json::array split;
  for (const WeightedService &it : rule.trafficSplit)
    split.push_back(json::array{it.service, it.weight});
  json::array fields{
      rule.name,
      rule.host,
      rule.pathPrefix,
      rule.isRetryable ? json::value(*rule.isRetryable) : json::value(),
      rule.timeout.count(),
      rule.attempts,
      rule.priority,
      rule.targetLatency ? json::value(rule.targetLatency->count())
                         : json::value(),
      std::move(split),
      rule.origin.author};
  // Left out where it is false, so that rules without teams keep their text.
  if (rule.needsTeamKey)
    fields.emplace_back(true);
  return fields;
}

json::array toJson(const DomainRule &rule) {
  return {rule.name, rule.origin.author};
}

json::array toJson(const TargetTraits &traits) {
  return {traits.service, traits.healthPath, traits.coldCallsPerSecond,
          traits.connectionLimit};
}

json::array toJson(const TeamRule &rule) {
  json::array digests;
  for (const std::string &it : rule.keyDigests)
    digests.emplace_back(it);
  return {rule.name,
          std::move(digests),
          rule.priority ? json::value(*rule.priority) : json::value(),
          rule.callsPerSecond,
          rule.burst,
          rule.origin.author};
}

json::array toJson(const RolloutRule &rule) {
  return {rule.service, rule.softwareVersion, rule.duration.count(),
          rule.order};
}

std::string_view prefixOf(const RuleRecord &record) {
  if (std::holds_alternative<ServiceRule>(record))
    return ServicePrefix;
  if (std::holds_alternative<TeamRule>(record))
    return TeamPrefix;
  if (std::holds_alternative<RolloutRule>(record))
    return RolloutRecordPrefix;
  return std::holds_alternative<DomainRule>(record) ? DomainRecordPrefix
                                                    : TraitsPrefix;
}

/** Takes the elements of an array one after the other. Throws what Boost.JSON
 * does if there are too few, or one is of another type. */
class FieldReader {
public:
  explicit FieldReader(const json::value &fields) : fields(fields.as_array()) {}

  const json::value &next() { return fields.at(n++); }
  bool hasNext() const { return n < fields.size(); }
  std::string text() { return std::string(next().as_string()); }
  template <std::integral T> T integer() { return next().to_number<T>(); }

private:
  const json::array &fields;
  std::size_t n = 0;
};

ServiceRule readService(const json::value &fields) {
  FieldReader reader(fields);
  ServiceRule rule;
  rule.name = reader.text();
  rule.host = reader.text();
  rule.pathPrefix = reader.text();
  if (const json::value &isRetryable = reader.next(); !isRetryable.is_null())
    rule.isRetryable = isRetryable.as_bool();
  rule.timeout = std::chrono::milliseconds(reader.integer<std::int64_t>());
  rule.attempts = reader.integer<unsigned>();
  rule.priority = reader.integer<unsigned>();
  if (const json::value &latency = reader.next(); !latency.is_null())
    rule.targetLatency =
        std::chrono::milliseconds(latency.to_number<std::int64_t>());
  for (const json::value &it : reader.next().as_array()) {
    FieldReader part(it);
    std::string service = part.text();
    rule.trafficSplit.push_back({std::move(service), part.integer<unsigned>()});
  }
  rule.origin.author = reader.text();
  rule.needsTeamKey = reader.hasNext() && reader.next().as_bool();
  return rule;
}

DomainRule readDomain(const json::value &fields) {
  FieldReader reader(fields);
  DomainRule rule;
  rule.name = reader.text();
  rule.origin.author = reader.text();
  return rule;
}

TargetTraits readTraits(const json::value &fields) {
  FieldReader reader(fields);
  TargetTraits traits;
  traits.service = reader.text();
  traits.healthPath = reader.text();
  traits.coldCallsPerSecond = reader.next().to_number<double>();
  traits.connectionLimit = reader.integer<unsigned>();
  return traits;
}

TeamRule readTeam(const json::value &fields) {
  FieldReader reader(fields);
  TeamRule rule;
  rule.name = reader.text();
  for (const json::value &it : reader.next().as_array())
    rule.keyDigests.emplace_back(it.as_string());
  if (const json::value &priority = reader.next(); !priority.is_null())
    rule.priority = priority.to_number<unsigned>();
  rule.callsPerSecond = reader.next().to_number<double>();
  rule.burst = reader.next().to_number<double>();
  rule.origin.author = reader.text();
  return rule;
}

RolloutRule readRollout(const json::value &fields) {
  FieldReader reader(fields);
  RolloutRule rule;
  rule.service = reader.text();
  rule.softwareVersion = reader.text();
  rule.duration = std::chrono::milliseconds(reader.integer<std::int64_t>());
  rule.order = reader.integer<std::uint64_t>();
  return rule;
}

} // namespace

std::string encodeRecord(const RuleRecord &record) {
  const json::array fields =
      std::visit([](const auto &it) { return toJson(it); }, record);
  return std::string(prefixOf(record)) + json::serialize(fields) + "\n";
}

Checked<RuleRecord> decodeRecord(std::string_view line) {
  const auto isOf = [&](std::string_view prefix) {
    return line.starts_with(prefix);
  };
  json::monotonic_resource memory;
  const auto parse = [&](std::string_view prefix) {
    return json::parse(line.substr(prefix.size()), &memory);
  };
  try {
    if (isOf(ServicePrefix))
      return readService(parse(ServicePrefix));
    if (isOf(DomainRecordPrefix))
      return readDomain(parse(DomainRecordPrefix));
    if (isOf(TraitsPrefix))
      return readTraits(parse(TraitsPrefix));
    if (isOf(TeamPrefix))
      return readTeam(parse(TeamPrefix));
    if (isOf(RolloutRecordPrefix))
      return readRollout(parse(RolloutRecordPrefix));
  } catch (const std::exception &error) {
    return Findings{{"record", 0, 0, {}, error.what()}};
  }
  return Findings{
      {"record",
       0,
       0,
       {},
       "starts neither with service, domain, traits, team nor rollout"}};
}

} // namespace plantainhatch
