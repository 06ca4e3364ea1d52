#include "version/RuleLineParser.h"

#include <array>
#include <cctype>
#include <charconv>

namespace plantainhatch::internal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds MinTimeout{1};
constexpr milliseconds MaxTimeout = std::chrono::hours(1);
constexpr std::uint32_t BytesPerKilobyte = 1024;

bool isNameCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.';
}

bool isHeaderName(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
           c == '_';
  });
}

bool isPath(std::string_view text) {
  return text.starts_with('/') && std::ranges::all_of(text, [](char c) {
           return std::isgraph(static_cast<unsigned char>(c)) != 0 && c != '?';
         });
}

/** A number and its unit, which follows without a space. */
struct Quantity {
  std::uint32_t number = 0;
  std::string_view unit;
};

std::optional<Quantity> splitQuantity(std::string_view text) {
  Quantity quantity;
  const char *const end = text.data() + text.size();
  auto [it, ec] = std::from_chars(text.data(), end, quantity.number);
  if (ec != std::errc())
    return std::nullopt;
  quantity.unit = text.substr(static_cast<std::size_t>(it - text.data()));
  return quantity;
}

std::optional<milliseconds> unitOfTime(std::string_view unit) {
  if (unit == "ms")
    return milliseconds(1);
  if (unit == "s")
    return std::chrono::seconds(1);
  if (unit == "m")
    return std::chrono::minutes(1);
  return std::nullopt;
}

std::optional<std::uint32_t> unitOfRate(std::string_view unit) {
  if (unit == "/s" || unit == "B/s")
    return 1;
  if (unit == "KB/s")
    return BytesPerKilobyte;
  return std::nullopt;
}

std::string quoted(std::string_view text) {
  return "'" + std::string(text) + "'";
}

} // namespace

RuleLineParser::RuleLineParser(const LexedLine &line, std::string fileName,
                               std::size_t number)
    : line(line), fileName(std::move(fileName)), number(number) {}

std::optional<Rule> RuleLineParser::parse() {
  struct Keyword {
    std::string_view name;
    Rule (RuleLineParser::*parse)();
  };
  static constexpr std::array Keywords{
      Keyword{"service", &RuleLineParser::parseService},
      Keyword{"domain", &RuleLineParser::parseDomain},
      Keyword{"vm", &RuleLineParser::parseVm},
      Keyword{"measure", &RuleLineParser::parseMeasure},
      Keyword{"allow", &RuleLineParser::parseAllow},
      Keyword{"team", &RuleLineParser::parseTeam}};
  const Token first = expect("a rule");
  const auto *const it =
      std::ranges::find(Keywords, first.text, &Keyword::name);
  if (it == Keywords.end()) {
    report(
        first.column,
        quoted(first.text) +
            " is not a rule; use service, domain, vm, measure, allow or team");
    parseOrigin();
    return std::nullopt;
  }
  Rule rule = (this->*(it->parse))();
  if (!findings.empty())
    return std::nullopt;
  return rule;
}

Rule RuleLineParser::parseService() {
  ServiceRule rule;
  rule.name = expectName("the service's name");
  expectKeyword("path");
  const Token path = expect("a path prefix");
  if (!path.text.empty() && !isPath(path.text))
    report(path.column,
           quoted(path.text) + " is not a path; it must start with '/'");
  rule.pathPrefix = path.text;
  while (!isAtEnd())
    parseServiceOption(rule);
  rule.origin = parseOrigin();
  return rule;
}

void RuleLineParser::parseServiceOption(ServiceRule &rule) {
  const Token token = expect("an option");
  if (token.text == "once") {
    rule.isOnce = true;
  } else if (token.text == "timeout") {
    rule.timeout = expectTimeout();
  } else if (token.text == "key") {
    const Token header = expect("the header of the idempotency key");
    if (!header.text.empty() && !isHeaderName(header.text))
      report(header.column,
             quoted(header.text) + " is not the name of a header");
    if (!rule.isOnce)
      report(token.column, "'key' needs 'once' before it");
    rule.idempotencyKeyHeader = header.text;
  } else if (token.text == "teams") {
    rule.needsTeamKey = true;
  } else {
    report(token.column,
           quoted(token.text) +
               " is not an option; use once, key, teams or timeout");
  }
}

Rule RuleLineParser::parseDomain() {
  DomainRule rule;
  rule.name = expectName("the failure domain's name");
  expectKeyword("out");
  expectEnd();
  rule.origin = parseOrigin();
  return rule;
}

Rule RuleLineParser::parseVm() {
  VmRule rule;
  const Token address = expect("the VM's address");
  const std::string host(address.text);
  if (!host.empty() && !Address::parse(host + ":1") && !Address::parse(host))
    report(address.column,
           quoted(host) + " is not an IP number, with or without a port");
  rule.address = host;
  expectKeyword("out");
  expectEnd();
  rule.origin = parseOrigin();
  return rule;
}

Rule RuleLineParser::parseMeasure() {
  MeasureRule rule;
  expectKeyword("rate");
  rule.messagesPerSecond = expectRate("messages per second, such as 50/s");
  expectKeyword("bytes");
  rule.bytesPerSecond = expectRate("bytes per second, such as 8KB/s");
  expectEnd();
  rule.origin = parseOrigin();
  return rule;
}

Rule RuleLineParser::parseAllow() {
  constexpr int Hexadecimal = 16;
  AllowRule rule;
  expectKeyword("request");
  const Token token = expect("a fingerprint as shown by status");
  const char *const end = token.text.data() + token.text.size();
  auto [it, ec] =
      std::from_chars(token.text.data(), end, rule.fingerprint, Hexadecimal);
  if (!token.text.empty() && (ec != std::errc() || it != end))
    report(token.column, quoted(token.text) + " is not a fingerprint");
  expectEnd();
  rule.origin = parseOrigin();
  return rule;
}

Rule RuleLineParser::parseTeam() {
  TeamRule rule;
  rule.name = expectName("the team's name");
  while (!isAtEnd())
    parseTeamOption(rule);
  rule.origin = parseOrigin();
  return rule;
}

void RuleLineParser::parseTeamOption(TeamRule &rule) {
  const Token token = expect("an option");
  if (token.text == "key") {
    rule.keyDigests.push_back(expectKeyDigest());
  } else if (token.text == "priority") {
    rule.priority = expectNumber("a priority, such as 1");
  } else if (token.text == "rate") {
    rule.callsPerSecond = expectRate("calls per second, such as 50/s");
    expectKeyword("burst");
    rule.burst = expectNumber("calls, such as 50");
  } else {
    report(token.column,
           quoted(token.text) + " is not an option; use key, priority or rate");
  }
}

std::string RuleLineParser::expectKeyDigest() {
  constexpr std::size_t DigestCharacters = 64;
  const Token token = expect("the SHA-256 of a key, in hexadecimal");
  const bool isDigest =
      token.text.size() == DigestCharacters &&
      std::ranges::all_of(token.text, [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
      });
  // What stands here may be a key, which must not come into a message.
  if (!token.text.empty() && !isDigest)
    report(token.column, "is not a SHA-256 in lower-case hexadecimal; write "
                         "the digest of the key, not the key");
  return std::string(token.text);
}

RuleOrigin RuleLineParser::parseOrigin() {
  if (line.author.empty())
    report(line.authorColumn,
           "no author; end the line with a comment that names the person who "
           "requested the rule");
  return {number, std::string(line.author)};
}

Token RuleLineParser::expect(const std::string &what) {
  if (isAtEnd()) {
    const auto column =
        line.tokens.empty()
            ? 1
            : line.tokens.back().column + line.tokens.back().text.size();
    report(column, "expected " + what);
    return {{}, column};
  }
  return line.tokens[position++];
}

bool RuleLineParser::accept(std::string_view keyword) {
  if (isAtEnd() || line.tokens[position].text != keyword)
    return false;
  ++position;
  return true;
}

void RuleLineParser::expectKeyword(std::string_view keyword) {
  if (accept(keyword))
    return;
  const Token token = expect(quoted(keyword));
  if (!token.text.empty())
    report(token.column,
           "expected " + quoted(keyword) + ", found " + quoted(token.text));
}

std::string RuleLineParser::expectName(const std::string &what) {
  const Token token = expect(what);
  if (!std::ranges::all_of(token.text, isNameCharacter))
    report(token.column,
           quoted(token.text) +
               " may only hold letters, digits, '-', '_' and '.'");
  return std::string(token.text);
}

milliseconds RuleLineParser::expectTimeout() {
  const Token token = expect("a time, such as 2s or 500ms");
  if (token.text.empty())
    return ServiceRule::DefaultTimeout;
  const auto quantity = splitQuantity(token.text);
  const auto unit = quantity ? unitOfTime(quantity->unit) : std::nullopt;
  if (!unit) {
    report(token.column,
           quoted(token.text) + " is not a time such as 2s or 500ms");
    return ServiceRule::DefaultTimeout;
  }
  const milliseconds timeout =
      *unit * static_cast<std::int64_t>(quantity->number);
  if (timeout < MinTimeout || timeout > MaxTimeout)
    report(token.column, quoted(token.text) + " is not between 1ms and 60m");
  return timeout;
}

std::uint32_t RuleLineParser::expectRate(const std::string &what) {
  const Token token = expect(what);
  if (token.text.empty())
    return 0;
  const auto quantity = splitQuantity(token.text);
  const auto unit = quantity ? unitOfRate(quantity->unit) : std::nullopt;
  if (!unit) {
    report(token.column, quoted(token.text) + " is not a number of " + what);
    return 0;
  }
  const std::uint64_t rate = std::uint64_t{quantity->number} * *unit;
  if (rate > std::numeric_limits<std::uint32_t>::max())
    report(token.column, quoted(token.text) + " is too large");
  return static_cast<std::uint32_t>(rate);
}

std::uint32_t RuleLineParser::expectNumber(const std::string &what) {
  const Token token = expect(what);
  if (token.text.empty())
    return 0;
  const auto quantity = splitQuantity(token.text);
  if (quantity && quantity->unit.empty())
    return quantity->number;
  report(token.column, quoted(token.text) + " is not a number of " + what);
  return 0;
}

void RuleLineParser::expectEnd() {
  if (isAtEnd())
    return;
  const Token token = line.tokens[position];
  position = line.tokens.size();
  report(token.column,
         "nothing may follow the rule except its comment, found " +
             quoted(token.text));
}

void RuleLineParser::report(std::size_t column, std::string message) {
  findings.push_back({fileName, number, column, {}, std::move(message)});
}

} // namespace plantainhatch::internal
