/** \file
 * Every fault of a rules file is reported with its place. */
#include "version/RuleParser.h"

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;

namespace {

struct Fault {
  const char *text;
  std::size_t line;
  std::size_t column;
  const char *part;
};

const Fault Faults[] = {
    {"service a path /a\n", 1, 18, "no author"},
    {"service a path /a #\n", 1, 19, "no author"},
    {"sevice a path /a # T\n", 1, 1, "'sevice' is not a rule"},
    {"service # T\n", 1, 8, "expected the service's name"},
    {"service a b # T\n", 1, 11, "expected 'path'"},
    {"service a path b # T\n", 1, 16, "not a path"},
    {"service a path /a?x # T\n", 1, 16, "not a path"},
    {"service a/b path /a # T\n", 1, 9, "may only hold"},
    {"service a path /a timeout 2 # T\n", 1, 27, "is not a time"},
    {"service a path /a timeout 0s # T\n", 1, 27, "not between"},
    {"service a path /a timeout 99999m # T\n", 1, 27, "not between"},
    {"service a path /a key K # T\n", 1, 19, "'key' needs 'once'"},
    {"service a path /a once key # T\n", 1, 27, "expected the header"},
    {"service a path /a once key K:L # T\n", 1, 28, "not the name of a header"},
    {"service a path /a twice # T\n", 1, 19, "is not an option"},
    {"domain d in # T\n", 1, 10, "expected 'out'"},
    {"domain d out now # T\n", 1, 14, "nothing may follow the rule"},
    {"vm host out # T\n", 1, 4, "is not an IP number"},
    {"vm 10.0.0.300 out # T\n", 1, 4, "is not an IP number"},
    {"measure rate 5 bytes 8KB/s # T\n", 1, 14, "is not a number of"},
    {"measure rate -5/s bytes 8KB/s # T\n", 1, 14, "is not a number of"},
    {"measure rate 5/s bytes 4194304KB/s # T\n", 1, 24, "too large"},
    {"allow request xyz # T\n", 1, 15, "is not a fingerprint"},
    {"allow request 12 34 # T\n", 1, 18, "nothing may follow the rule"},
    {"service a path /a # T\nservice a path /b # T\n", 2, 1,
     "'service a' is already defined in line 1"},
    {"service a path /a # T\nservice b path /a # T\n", 2, 1,
     "'path /a' is already defined in line 1"},
    {"domain d out # T\n\ndomain d out # T\n", 3, 1,
     "is already defined in line 1"},
    {"vm 1.2.3.4 out # T\nvm 1.2.3.4 out # T\n", 2, 1, "is already defined"},
    {"measure rate 1/s bytes 1/s # T\nmeasure rate 1/s bytes 1/s # T\n", 2, 1,
     "is already defined"},
    {"team # T\n", 1, 5, "expected the team's name"},
    {"team a key secret # T\n", 1, 12, "write the digest of the key"},
    {"team a rate 5 burst 5 # T\n", 1, 13, "is not a number of"},
    {"team a rate 5/s # T\n", 1, 16, "expected 'burst'"},
    {"team a priority high # T\n", 1, 17, "is not a number of"},
    {"team a limit 5 # T\n", 1, 8, "is not an option"},
    {"team a # T\nteam a # T\n", 2, 1, "'team a' is already defined"},
};

} // namespace

TEST_GROUP(RuleFaults){};

TEST(RuleFaults, EachFaultHasItsPlace) {
  for (const Fault &fault : Faults) {
    const auto rules = parseRules(fault.text, "rules.txt");
    CHECK_TEXT(!rules.has_value(), fault.text);
    const Finding &found = rules.error().front();
    STRCMP_EQUAL_TEXT("rules.txt", found.source.c_str(), fault.text);
    CHECK_EQUAL_TEXT(fault.line, found.line, fault.text);
    CHECK_EQUAL_TEXT(fault.column, found.column, fault.text);
    CHECK_TEXT(found.message.find(fault.part) != std::string::npos,
               (fault.text + found.message).c_str());
  }
}

TEST(RuleFaults, AllFaultsAreReportedAtOnce) {
  const auto rules =
      parseRules("sevice\nservice a path b\nvm x out # T\n", "rules.txt");
  // An unknown rule and a missing author, a path and a missing author, an
  // address.
  CHECK_EQUAL(5, rules.error().size());
}

TEST(RuleFaults, CommentsAndBlankLinesAreNoRules) {
  const auto rules =
      parseRules("# a remark\n\n  \t\r\ndomain d out # T\r\n", "f");
  CHECK_EQUAL(1, rules.value().size());
  STRCMP_EQUAL("T",
               std::get<DomainRule>(rules.value()[0]).origin.author.c_str());
}

TEST(RuleFaults, OversizedFileIsRefused) {
  CHECK_FALSE(
      parseRules(std::string(MaxRulesBytes + 1, '\n'), "f").has_value());
}
