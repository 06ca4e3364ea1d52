#include "version/findDuplicateRules.h"

#include <map>
#include <vector>

namespace plantainhatch::internal {

namespace {

/** Returns the subjects of a rule. No two rules may have the same subject. A
 * service rule has two: its name and its path prefix. A team has its name and
 * its keys. */
struct SubjectVisitor {
  std::vector<std::string> operator()(const ServiceRule &rule) const {
    return {"service " + rule.name, "path " + rule.pathPrefix};
  }
  std::vector<std::string> operator()(const DomainRule &rule) const {
    return {"domain " + rule.name};
  }
  std::vector<std::string> operator()(const VmRule &rule) const {
    return {"vm " + rule.address};
  }
  std::vector<std::string> operator()(const MeasureRule & /*rule*/) const {
    return {"measure"};
  }
  std::vector<std::string> operator()(const AllowRule &rule) const {
    return {"request " + std::to_string(rule.fingerprint)};
  }
  std::vector<std::string> operator()(const TeamRule &rule) const {
    std::vector<std::string> subjects{"team " + rule.name};
    for (const std::string &it : rule.keyDigests)
      subjects.push_back("key " + it);
    return subjects;
  }
};

std::size_t lineOf(const Rule &rule) {
  return std::visit([](const auto &it) { return it.origin.line; }, rule);
}

} // namespace

Findings findDuplicateRules(std::span<const Rule> rules,
                            const std::string &fileName) {
  std::map<std::string, std::size_t> firstLines;
  Findings findings;
  for (const Rule &rule : rules) {
    const std::size_t line = lineOf(rule);
    for (const std::string &subject : std::visit(SubjectVisitor(), rule)) {
      const auto [it, isNew] = firstLines.try_emplace(subject, line);
      if (!isNew)
        findings.push_back({fileName,
                            line,
                            1,
                            {},
                            "'" + subject + "' is already defined in line " +
                                std::to_string(it->second) +
                                "; remove one of the two rules"});
    }
  }
  return findings;
}

} // namespace plantainhatch::internal
