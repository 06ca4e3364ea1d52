#include "version/Configuration.h"

#include "base/Digest.h"

#include <algorithm>

namespace plantainhatch {

namespace {

bool isPrefixAtSegmentEnd(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix))
    return false;
  return prefix.ends_with('/') || path.size() == prefix.size() ||
         path[prefix.size()] == '/';
}

} // namespace

Checked<ConfigurationPtr> Configuration::build(ConfigurationHead head,
                                               std::string text) {
  const std::string source = "version " + std::to_string(head.version);
  if (head.digest != digestOf(text))
    return Findings{{source,
                     0,
                     0,
                     {},
                     "the digest of the text does not match the head row"}};
  auto rules = parseRules(text, source);
  if (!rules)
    return std::move(rules).error();
  const boost::intrusive_ptr<Configuration> configuration(new Configuration);
  configuration->versionHead = std::move(head);
  configuration->rulesText = std::move(text);
  for (Rule &rule : rules.value())
    std::visit([&](auto &it) { configuration->addRule(std::move(it)); }, rule);
  configuration->sortServices();
  return ConfigurationPtr(configuration);
}

ConfigurationPtr Configuration::makeEmpty() {
  const boost::intrusive_ptr<Configuration> configuration(new Configuration);
  configuration->versionHead.digest = digestOf("");
  return configuration;
}

ConfigurationPtr Configuration::fromRules(ConfigurationHead head,
                                          std::string text,
                                          std::vector<Rule> rules,
                                          std::vector<TargetTraits> traits) {
  const boost::intrusive_ptr<Configuration> configuration(new Configuration);
  configuration->versionHead = std::move(head);
  configuration->rulesText = std::move(text);
  for (Rule &rule : rules)
    std::visit([&](auto &it) { configuration->addRule(std::move(it)); }, rule);
  for (TargetTraits &it : traits) {
    std::string service = it.service;
    configuration->targetTraits.emplace(std::move(service), std::move(it));
  }
  configuration->sortServices();
  return ConfigurationPtr(configuration);
}

const TargetTraits *
Configuration::findTraits(const std::string &service) const {
  const auto it = targetTraits.find(service);
  return it == targetTraits.end() ? nullptr : &it->second;
}

const ServiceRule *Configuration::findService(std::string_view host,
                                              std::string_view path) const {
  const auto it =
      std::ranges::find_if(serviceRules, [&](const ServiceRule &rule) {
        return (rule.host.empty() || rule.host == host) &&
               isPrefixAtSegmentEnd(rule.pathPrefix, path);
      });
  return it == serviceRules.end() ? nullptr : &*it;
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

void Configuration::sortServices() {
  std::ranges::sort(
      serviceRules, std::ranges::greater(),
      [](const ServiceRule &rule) { return rule.pathPrefix.size(); });
}

} // namespace plantainhatch
