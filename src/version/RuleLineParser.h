/** \file
 * Parses one line of a rules file into a rule. */
#ifndef PLANTAINHATCH_VERSION_RULELINEPARSER_H
#define PLANTAINHATCH_VERSION_RULELINEPARSER_H

#include "base/Finding.h"
#include "version/Rule.h"
#include "version/RuleLexer.h"

#include <algorithm>
#include <optional>
#include <string>

namespace plantainhatch::internal {

/** Recursive descent parser for one line. Collects all faults of the line. For
 * a single use; not thread-safe. */
class RuleLineParser {
public:
  /** \param fileName used in findings.
   * \param number line number, counted from 1.
   * \pre \p line has at least one token and outlives the parser. */
  RuleLineParser(const LexedLine &line, std::string fileName,
                 std::size_t number);

  /** Parses the line. \return the rule, or nullopt if the line has a fault. */
  std::optional<Rule> parse();

  /** Moves out the faults found by parse(). */
  Findings takeFindings() { return std::move(findings); }

private:
  const LexedLine &line;
  std::string fileName;
  std::size_t number;
  std::size_t position = 0;
  Findings findings;

  Rule parseService();
  Rule parseDomain();
  Rule parseVm();
  Rule parseMeasure();
  Rule parseAllow();
  Rule parseTeam();

  void parseServiceOption(ServiceRule &rule);
  void parseTeamOption(TeamRule &rule);
  RuleOrigin parseOrigin();
  /** Takes the next token. At the end of the line reports that \p what is
   * missing and returns a token without text. */
  Token expect(const std::string &what);
  /** Takes the next token if it is \p keyword. \return true if it was taken. */
  bool accept(std::string_view keyword);
  void expectKeyword(std::string_view keyword);
  std::string expectName(const std::string &what);
  std::chrono::milliseconds expectTimeout();
  std::uint32_t expectRate(const std::string &what);
  std::uint32_t expectNumber(const std::string &what);
  std::string expectKeyDigest();
  void expectEnd();
  void report(std::size_t column, std::string message);
  bool isAtEnd() const { return position >= line.tokens.size(); }
};

} // namespace plantainhatch::internal

#endif
