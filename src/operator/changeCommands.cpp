/** \file
 * Commands that change the accepted configuration. */
#include "base/Text.h"
#include "operator/commands.h"
#include "operator/offerVersion.h"
#include "operator/runCommand.h"

#include "version/RuleParser.h"
#include "version/RulesEdit.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace plantainhatch {

namespace {

using nlohmann::json;

std::string describe(const ConfigurationHead &head) {
  return "version " + std::to_string(head.version) + ", '" + head.change +
         "', asked by " + head.author;
}

/** A node that has a newer version than the store shows that the store was set
 * back. */
std::uint64_t newestVersionOfNodes(CommandContext &context) {
  std::uint64_t newest = 0;
  for (const auto &[node, answer] : context.nodes.fetch(
           context.settings.nodes, "/plantainhatch/v1/status?members=0"))
    if (answer)
      newest = std::max(newest, answer->value("version", std::uint64_t{0}));
  return newest;
}

CommandResult toResult(const CommandContext &context,
                       const ChangeResult &change) {
  using Kind = ChangeResult::Kind;
  switch (change.kind) {
  case Kind::Accepted:
  case Kind::Unchanged: {
    const bool isChanged = change.kind == Kind::Accepted;
    const std::string version = std::to_string(change.head.version);
    const json data{{"version", change.head.version},
                    {"applyId", change.head.applyId},
                    {"changed", isChanged}};
    return {ExitCode::Done,
            context.options.isJson ? encodeJson(data) + "\n" : version + "\n",
            isChanged
                ? "accepted as version " + version + "\n"
                : "in force already since " + describe(change.head) + "\n"};
  }
  case Kind::Lost:
    return refused("refused: another change won: " +
                   describe(change.winner.value_or(ConfigurationHead{})));
  case Kind::Invalid:
    return {ExitCode::Refused, {}, toString(change.findings)};
  case Kind::NotAccepted:
  case Kind::Unknown:
    break;
  }
  return refused(change.reason);
}

CommandResult carryOut(CommandContext &context, ChangeOrder order) {
  order.versionAtNodes = newestVersionOfNodes(context);
  const ChangeResult change = context.store.change(order);
  CommandResult result = toResult(context, change);
  if (change.kind == ChangeResult::Kind::Accepted) {
    const std::size_t offered = offerVersion(context, change.head, change.text);
    result.messages += offered > 0
                           ? "given to " + std::to_string(offered) + " nodes\n"
                           : "warning: no node has taken it yet; it is in "
                             "force as soon as nodes read the store\n";
  }
  return result;
}

std::string defaultAuthor(const CommandContext &context) {
  if (!context.options.author.empty())
    return context.options.author;
  const char *const user = std::getenv("USER");
  return user == nullptr ? "operator" : user;
}

bool isName(const std::string &text) {
  return !text.empty() && std::ranges::all_of(text, [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
           c == '_' || c == '.';
  });
}

std::string warnOfUnknownDomain(CommandContext &context,
                                const std::string &name) {
  const auto listings = context.nodes.listNodes(context.settings.nodes);
  const bool isKnown =
      listings.empty() ||
      std::ranges::any_of(listings, [&](const NodeListing &listing) {
        return listing.failureDomain == name;
      });
  return isKnown ? ""
                 : "warning: no node is in failure domain '" + name +
                       "' at the moment\n";
}

CommandResult move(CommandContext &context, MoveKind kind,
                   const std::vector<std::string> &arguments) {
  const std::string &direction = arguments[0];
  if (direction != "out" && direction != "in")
    return {ExitCode::Usage, {}, "'" + direction + "' is neither out nor in\n"};
  if (context.options.author.empty())
    return {ExitCode::Usage, {}, "--who is missing: name who asked for it\n"};
  if (context.options.author.find_first_of("#\r\n") != std::string::npos)
    return {ExitCode::Usage, {}, "--who may not hold '#' or line ends\n"};
  const std::string &subject = arguments[1];
  const bool isVm = kind == MoveKind::Vm;
  if (isVm && !Address::parse(subject) && !Address::parse(subject + ":1"))
    return {ExitCode::Usage,
            {},
            "'" + subject + "' is not an IP number, with or without a port\n"};
  if (!isVm && !isName(subject))
    return {ExitCode::Usage,
            {},
            "'" + subject + "' is not the name of a failure domain\n"};
  const Move order{kind,
                   direction == "out" ? MoveDirection::Out : MoveDirection::In,
                   subject, context.options.author};
  CommandResult result =
      carryOut(context, {[&order](const Configuration &current) {
                           return applyMove(current, order);
                         },
                         order.author, order.toString(),
                         context.options.expectedVersion});
  if (!isVm && result.code == ExitCode::Done)
    result.messages += warnOfUnknownDomain(context, subject);
  return result;
}

} // namespace

CommandResult checkRules(const std::string &fileName) {
  const auto text = readFile(fileName);
  if (!text)
    return {ExitCode::Refused, {}, toString(text.error())};
  const auto rules = parseRules(text.value(), fileName);
  if (!rules)
    return {ExitCode::Refused, {}, toString(rules.error())};
  return {ExitCode::Done,
          {},
          std::to_string(rules.value().size()) + " rules, no faults\n"};
}

namespace commands {

CommandResult check(CommandContext & /*context*/,
                    const std::vector<std::string> &arguments) {
  return checkRules(arguments[0]);
}

CommandResult apply(CommandContext &context,
                    const std::vector<std::string> &arguments) {
  const std::string &fileName = arguments[0];
  CommandResult checked = checkRules(fileName);
  if (checked.code != ExitCode::Done)
    return checked;
  const auto text = readFile(fileName);
  if (!text)
    return {ExitCode::Refused, {}, toString(text.error())};
  return carryOut(context, {[&text](const Configuration & /*current*/) {
                              return text.value();
                            },
                            defaultAuthor(context), "apply " + fileName,
                            context.options.expectedVersion});
}

CommandResult moveDomain(CommandContext &context,
                         const std::vector<std::string> &arguments) {
  return move(context, MoveKind::Domain, arguments);
}

CommandResult moveVm(CommandContext &context,
                     const std::vector<std::string> &arguments) {
  return move(context, MoveKind::Vm, arguments);
}

} // namespace commands

} // namespace plantainhatch
