#include "version/findDuplicateRules.h"

#include <map>
#include <vector>

namespace plantainhatch::internal {

namespace {

/** Names what a rule is about. A service is known by its name and by its path.
 */
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
                            "'" + subject + "' stands already in line " +
                                std::to_string(it->second) +
                                "; keep one of the two"});
    }
  }
  return findings;
}

} // namespace plantainhatch::internal
