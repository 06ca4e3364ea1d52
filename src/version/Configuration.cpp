#include "version/Configuration.h"

#include "base/Digest.h"
#include "version/takeLine.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>

namespace plantainhatch {

namespace {

Findings makeDigestFinding(const ConfigurationHead &head) {
  return {{"version " + std::to_string(head.version),
           0,
           0,
           {},
           "the digest of the text does not match the head row"}};
}

} // namespace

Checked<ConfigurationPtr> Configuration::build(ConfigurationHead head,
                                               std::string text) {
  if (head.digest != digestOf(text))
    return makeDigestFinding(head);
  auto rules = parseRules(text, "version " + std::to_string(head.version));
  if (!rules)
    return std::move(rules).error();
  const boost::intrusive_ptr<Configuration> configuration(new Configuration);
  configuration->versionHead = std::move(head);
  configuration->rulesText = std::move(text);
  for (Rule &rule : rules.value())
    std::visit([&](auto &it) { configuration->addRule(std::move(it)); }, rule);
  configuration->indexServices();
  return ConfigurationPtr(configuration);
}

ConfigurationPtr Configuration::makeEmpty() {
  const boost::intrusive_ptr<Configuration> configuration(new Configuration);
  configuration->versionHead.digest = digestOf("");
  return configuration;
}

Checked<ConfigurationPtr>
Configuration::buildFromRecords(ConfigurationHead head, std::string text,
                                const Configuration &previous) {
  if (head.digest != digestOf(text))
    return makeDigestFinding(head);
  return makeFromRecords(std::move(head), std::move(text), previous);
}

Checked<ConfigurationPtr>
Configuration::makeFromRecords(ConfigurationHead head, std::string text,
                               const Configuration &previous) {
  const boost::intrusive_ptr<Configuration> configuration(new Configuration);
  if (head.digest.empty())
    head.digest = digestOf(text);
  configuration->versionHead = std::move(head);
  configuration->rulesText = std::move(text);
  Findings findings = configuration->addRecords(previous);
  if (!findings.empty())
    return findings;
  configuration->indexServices();
  return ConfigurationPtr(configuration);
}

Findings Configuration::addRecords(const Configuration &previous) {
  Findings findings;
  lines.reserve(previous.lines.size());
  std::string_view text = rulesText;
  std::string_view known = previous.rulesText;
  auto knownLine = previous.lines.begin();
  while (!text.empty()) {
    const std::string_view line = takeLine(text);
    while (knownLine != previous.lines.end() &&
           known.substr(0, knownLine->size) < line)
      known.remove_prefix(knownLine++->size);
    const bool isKnown = knownLine != previous.lines.end() &&
                         known.substr(0, knownLine->size) == line;
    lines.push_back({line.size(), isKnown ? knownLine->service : nullptr});
    if (lines.back().service)
      serviceRules.push_back(lines.back().service);
    else
      std::ranges::move(addRecord(line), std::back_inserter(findings));
  }
  return findings;
}

Findings Configuration::addRecord(std::string_view line) {
  auto record = decodeRecord(line);
  if (!record)
    return std::move(record).error();
  ++parsedRecords;
  const bool isService = std::holds_alternative<ServiceRule>(record.value());
  std::visit([&](auto &it) { addRule(std::move(it)); }, record.value());
  if (isService)
    lines.back().service = serviceRules.back();
  return {};
}

const TargetTraits *
Configuration::findTraits(const std::string &service) const {
  const auto it = targetTraits.find(service);
  return it == targetTraits.end() ? nullptr : &it->second;
}

const ServiceRule *Configuration::findService(std::string_view host,
                                              std::string_view path) const {
  // A prefix ends at the end of the path, or before or behind a slash.
  for (std::size_t n = path.size();; --n) {
    const bool isEnd =
        n == path.size() || path[n] == '/' || (n > 0 && path[n - 1] == '/');
    const ServiceRule *const rule =
        isEnd ? findByPrefix(host, path.substr(0, n)) : nullptr;
    if (rule != nullptr || n == 0)
      return rule;
  }
}

const ServiceRule *Configuration::findByPrefix(std::string_view host,
                                               std::string_view prefix) const {
  const ServiceRule *found = nullptr;
  const auto [first, last] = byPrefix.equal_range(prefix);
  for (auto it = first; it != last; ++it) {
    const ServiceRule *const rule = it->second;
    if (!rule->host.empty() && rule->host == host)
      return rule;
    if (rule->host.empty())
      found = rule;
  }
  return found;
}

const TeamRule *Configuration::findTeam(const std::string &keyDigest) const {
  const auto it = teamsByKey.find(keyDigest);
  return it == teamsByKey.end() ? nullptr : it->second;
}

const DomainRule *Configuration::findDomainOut(const std::string &name) const {
  const auto it = domainRules.find(name);
  return it == domainRules.end() ? nullptr : &it->second;
}

const VmRule *Configuration::findVmOut(const Address &address) const {
  if (vmRules.empty())
    return nullptr;
  auto it = vmRules.find(address.host);
  if (it == vmRules.end())
    it = vmRules.find(address.toString());
  return it == vmRules.end() ? nullptr : &it->second;
}

void Configuration::addRule(DomainRule rule) {
  std::string name = rule.name;
  domainRules.emplace(std::move(name), std::move(rule));
}

void Configuration::addRule(VmRule rule) {
  std::string address = rule.address;
  vmRules.emplace(std::move(address), std::move(rule));
}

void Configuration::addRule(TargetTraits traits) {
  std::string service = traits.service;
  targetTraits.emplace(std::move(service), std::move(traits));
}

void Configuration::addRule(RolloutRule rule) {
  std::string service = rule.service;
  rolloutRules.emplace(std::move(service), std::move(rule));
}

void Configuration::addRule(TeamRule rule) {
  std::string name = rule.name;
  const auto [it, isNew] = teams.emplace(std::move(name), std::move(rule));
  if (!isNew)
    return;
  for (const std::string &digest : it->second.keyDigests)
    teamsByKey.emplace(digest, &it->second);
}

void Configuration::indexServices() {
  byPrefix.reserve(serviceRules.size());
  for (const ServiceRulePtr &it : serviceRules)
    byPrefix.emplace(it->rule.pathPrefix, &it->rule);
}

std::string joinRecords(std::vector<std::string> lines) {
  std::ranges::sort(lines);
  std::string text;
  text.reserve(std::transform_reduce(
      lines.begin(), lines.end(), std::size_t{0}, std::plus<>(),
      [](const std::string &it) { return it.size(); }));
  for (const std::string &it : lines)
    text += it;
  return text;
}

} // namespace plantainhatch
