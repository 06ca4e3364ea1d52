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

/** An immutable, parsed version. Requests hold a reference, so a call is
 * finished under the version that it started with. The count is thread-safe,
 * and so is reading. */
class Configuration : public boost::intrusive_ref_counter<Configuration> {
public:
  /** Parses \p text for \p head.
   * \return the version, or the faults of the text, or a finding if the text
   * does not have the digest that the head names. */
  static Checked<boost::intrusive_ptr<const Configuration>>
  build(ConfigurationHead head, std::string text);

  /** Version 0: no rules at all. */
  static boost::intrusive_ptr<const Configuration> makeEmpty();

  /** Builds a version from rules that were read from another form than the
   * rules text; \p text is what \p head has the digest of. */
  static boost::intrusive_ptr<const Configuration>
  fromRules(ConfigurationHead head, std::string text, std::vector<Rule> rules,
            std::vector<TargetTraits> traits);

  const ConfigurationHead &head() const { return versionHead; }
  const std::string &text() const { return rulesText; }
  const std::vector<ServiceRule> &services() const { return serviceRules; }
  const MeasureRule &measure() const { return measureRule; }
  const std::map<std::string, DomainRule> &domainsOut() const {
    return domainRules;
  }
  const std::map<std::string, VmRule> &vmsOut() const { return vmRules; }

  /** The rule with the longest path prefix that \p path starts with at a
   * segment's end. \return nothing if no rule matches. */
  const ServiceRule *findService(std::string_view path) const {
    return findService({}, path);
  }

  /** The same among the rules for \p host and those for any host. */
  const ServiceRule *findService(std::string_view host,
                                 std::string_view path) const;

  /** What is known of the targets of a service; nothing if no one said. */
  const TargetTraits *findTraits(const std::string &service) const;

  /** The rule that takes the failure domain out, if there is one. */
  const DomainRule *findDomainOut(const std::string &name) const;

  /** The rule that takes out the VM with this address, by IP number or by IP
   * and port. */
  const VmRule *findVmOut(const Address &address) const;

  /** True if a rule allows a request that is suspected of crashing targets. */
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
