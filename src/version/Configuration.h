/** \file
 * One version of the configuration. */
#ifndef PLANTAINHATCH_VERSION_CONFIGURATION_H
#define PLANTAINHATCH_VERSION_CONFIGURATION_H

#include "version/ConfigurationHead.h"
#include "version/RuleParser.h"
#include "version/RuleRecord.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plantainhatch {

/** A service rule that all versions with the same record share. */
class SharedServiceRule
    : public boost::intrusive_ref_counter<SharedServiceRule> {
public:
  explicit SharedServiceRule(ServiceRule serviceRule)
      : rule(std::move(serviceRule)) {}

  const ServiceRule rule;
};

using ServiceRulePtr = boost::intrusive_ptr<const SharedServiceRule>;

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

  /** Parses a text whose lines are records, see RuleRecord.h. Service rules
   * whose lines \p previous has as well are taken from there instead of parsed;
   * all are if both texts are sorted, as joinRecords() sorts them.
   * \return as build(). */
  static Checked<boost::intrusive_ptr<const Configuration>>
  buildFromRecords(ConfigurationHead head, std::string text,
                   const Configuration &previous);

  /** As above for a text that was made in this process: a digest that \p head
   * lacks is set, and one that it has is not checked. */
  static Checked<boost::intrusive_ptr<const Configuration>>
  makeFromRecords(ConfigurationHead head, std::string text,
                  const Configuration &previous);

  const ConfigurationHead &head() const { return versionHead; }
  const std::string &text() const { return rulesText; }
  /** Number of service rules. */
  std::size_t serviceCount() const { return serviceRules.size(); }
  /** Records that were parsed for this version, as the previous one did not
   * have them. */
  std::size_t parsedRecordCount() const { return parsedRecords; }
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

  /** As above, among the rules for \p host and those without a host. Of two
   * rules with the same prefix, the one with a host applies. The cost grows
   * with the segments of \p path, not with the rules. */
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

  /** True if there are teams. Calls then carry keys, which are for the nodes
   * alone. */
  bool hasTeams() const { return !teams.empty(); }

  /** The team that holds the key with this digest; nullptr if none does. */
  const TeamRule *findTeam(const std::string &keyDigest) const;

  /** All teams, by name. */
  const std::map<std::string, TeamRule> &teamRules() const { return teams; }

  /** The roll-outs that are ordered, by service. */
  const std::map<std::string, RolloutRule> &rollouts() const {
    return rolloutRules;
  }

  /** True if a rule allows the request with this fingerprint although it is
   * suspected of crashing targets. */
  bool isAllowed(std::uint64_t fingerprint) const {
    return allowedRequests.contains(fingerprint);
  }

private:
  /** One line of a text of records. */
  struct Line {
    /** In bytes, with the line break. */
    std::size_t size = 0;
    /** Null if the record is not a service rule. */
    ServiceRulePtr service;
  };

  ConfigurationHead versionHead;
  std::string rulesText;
  /** The lines of rulesText in order; empty if it is a rules file. */
  std::vector<Line> lines;
  std::vector<ServiceRulePtr> serviceRules;
  /** The service rules by path prefix. The keys are views of the rules. */
  std::unordered_multimap<std::string_view, const ServiceRule *> byPrefix;
  std::size_t parsedRecords = 0;
  std::map<std::string, DomainRule> domainRules;
  std::map<std::string, VmRule> vmRules;
  MeasureRule measureRule;
  std::set<std::uint64_t> allowedRequests;
  std::map<std::string, TargetTraits> targetTraits;
  std::map<std::string, RolloutRule> rolloutRules;
  std::map<std::string, TeamRule> teams;
  /** By the digest of a key; entries of \ref teams. */
  std::unordered_map<std::string, const TeamRule *> teamsByKey;

  void addRule(ServiceRule rule) {
    serviceRules.emplace_back(new SharedServiceRule(std::move(rule)));
  }
  void addRule(DomainRule rule);
  void addRule(VmRule rule);
  void addRule(MeasureRule rule) { measureRule = std::move(rule); }
  void addRule(const AllowRule &rule) {
    allowedRequests.insert(rule.fingerprint);
  }
  void addRule(TargetTraits traits);
  void addRule(TeamRule rule);
  void addRule(RolloutRule rule);
  Findings addRecords(const Configuration &previous);
  Findings addRecord(std::string_view line);
  void indexServices();
  const ServiceRule *findByPrefix(std::string_view host,
                                  std::string_view prefix) const;
};

/** The lines in the order in which buildFromRecords() finds most of them in an
 * earlier text, as one text. Pure. */
std::string joinRecords(std::vector<std::string> lines);

/** A shared, immutable version. */
using ConfigurationPtr = boost::intrusive_ptr<const Configuration>;

} // namespace plantainhatch

#endif
