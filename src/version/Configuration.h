/** \file
 * One version of the configuration. */
#ifndef PLANTAINHATCH_VERSION_CONFIGURATION_H
#define PLANTAINHATCH_VERSION_CONFIGURATION_H

#include "version/ConfigurationHead.h"
#include "version/RuleParser.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhatch {

/** A parsed version of the configuration. Immutable and reference-counted: each
 * call holds a reference and so ends under the version that it started with.
 * The reference count and all const members are thread-safe. */
class Configuration : public boost::intrusive_ref_counter<Configuration> {
public:
  /** Parses \p text for \p head.
   * \return the configuration; or the faults of the text; or a finding if the
   * digest of \p text is not that of \p head. */
  static Checked<boost::intrusive_ptr<const Configuration>>
  build(ConfigurationHead head, std::string text);

  /** Version 0, which has no rules. */
  static boost::intrusive_ptr<const Configuration> makeEmpty();

  /** Builds a version from rules parsed from a format other than the rules
   * file. \pre \p head has the digest of \p text. */
  static boost::intrusive_ptr<const Configuration>
  fromRules(ConfigurationHead head, std::string text, std::vector<Rule> rules,
            std::vector<TargetTraits> traits);

  const ConfigurationHead &head() const { return versionHead; }
  const std::string &text() const { return rulesText; }
  /** Sorted by the length of the path prefix, longest first. */
  const std::vector<ServiceRule> &services() const { return serviceRules; }
  const MeasureRule &measure() const { return measureRule; }
  /** The failure domains taken out by a rule, by name. */
  const std::map<std::string, DomainRule> &domainsOut() const {
    return domainRules;
  }
  /** The VMs taken out by a rule, by the address as written in the rule. */
  const std::map<std::string, VmRule> &vmsOut() const { return vmRules; }

  /** Finds the rule whose path prefix is the longest that \p path starts with,
   * among the rules without a host. A prefix must end at the end of a path
   * segment.
   * \return nullptr if no rule matches. */
  const ServiceRule *findService(std::string_view path) const {
    return findService({}, path);
  }

  /** As above, among the rules for \p host and those without a host. */
  const ServiceRule *findService(std::string_view host,
                                 std::string_view path) const;

  /** The configured traits of the targets of \p service; nullptr if there are
   * none. */
  const TargetTraits *findTraits(const std::string &service) const;

  /** The rule that takes out the failure domain \p name; nullptr if there is
   * none. */
  const DomainRule *findDomainOut(const std::string &name) const;

  /** The rule that takes out the VM with \p address, by its IP number or by IP
   * number and port; nullptr if there is none. */
  const VmRule *findVmOut(const Address &address) const;

  /** True if a rule allows the request with this fingerprint although it is
   * suspected of crashing targets. */
  bool isAllowed(std::uint64_t fingerprint) const {
    return allowedRequests.contains(fingerprint);
  }

private:
  ConfigurationHead versionHead;
  std::string rulesText;
  std::vector<ServiceRule> serviceRules;
  std::map<std::string, DomainRule> domainRules;
  std::map<std::string, VmRule> vmRules;
  MeasureRule measureRule;
  std::set<std::uint64_t> allowedRequests;
  std::map<std::string, TargetTraits> targetTraits;

  void addRule(ServiceRule rule) { serviceRules.push_back(std::move(rule)); }
  void addRule(DomainRule rule);
  void addRule(VmRule rule);
  void addRule(MeasureRule rule) { measureRule = std::move(rule); }
  void addRule(const AllowRule &rule) {
    allowedRequests.insert(rule.fingerprint);
  }
  void sortServices();
};

/** A shared, immutable version. */
using ConfigurationPtr = boost::intrusive_ptr<const Configuration>;

} // namespace plantainhatch

#endif
