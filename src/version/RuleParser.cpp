#include "version/RuleParser.h"

#include "version/RuleLexer.h"
#include "version/RuleLineParser.h"
#include "version/findDuplicateRules.h"

#include <iterator>

namespace plantainhatch {

namespace {

/** Calls \p visit with each line and its number, counted from 1. */
template <typename Visitor>
void forEachLine(std::string_view text, Visitor visit) {
  std::size_t number = 0;
  while (!text.empty()) {
    const auto end = text.find('\n');
    visit(text.substr(0, end), ++number);
    text = end == std::string_view::npos ? std::string_view()
                                         : text.substr(end + 1);
  }
}

} // namespace

Checked<std::vector<Rule>> parseRules(std::string_view text,
                                      const std::string &fileName) {
  if (text.size() > MaxRulesBytes)
    return Findings{{fileName,
                     0,
                     0,
                     {},
                     "the rules file is larger than 1 MiB; split the cluster"}};
  std::vector<Rule> rules;
  Findings findings;
  forEachLine(text, [&](std::string_view line, std::size_t number) {
    const auto lexed = internal::lexRuleLine(line);
    if (lexed.tokens.empty())
      return;
    internal::RuleLineParser parser(lexed, fileName, number);
    if (auto rule = parser.parse())
      rules.push_back(std::move(*rule));
    std::ranges::move(parser.takeFindings(), std::back_inserter(findings));
  });
  std::ranges::move(internal::findDuplicateRules(rules, fileName),
                    std::back_inserter(findings));
  if (!findings.empty())
    return findings;
  return rules;
}

} // namespace plantainhatch
