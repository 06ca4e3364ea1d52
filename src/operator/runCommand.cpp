#include "operator/runCommand.h"

#include "operator/commands.h"

#include <algorithm>
#include <array>

namespace plantainhatch {

namespace {

using Words = std::vector<std::string>;

struct Command {
  std::string_view name;
  std::string_view arguments;
  std::string_view description;
  std::size_t argumentCount;
  CommandResult (*run)(CommandContext &, const Words &);
};

constexpr std::array Commands{
    Command{"check", "FILE", "report all faults of a rules file", 1,
            commands::check},
    Command{"apply", "FILE", "make a rules file the accepted configuration", 1,
            commands::apply},
    Command{"show", "[VERSION]",
            "print the accepted rules, or those of a version", 0,
            commands::show},
    Command{"history", "", "list the accepted versions", 0, commands::history},
    Command{"domain", "out|in NAME",
            "take a failure domain out, or bring it in", 2,
            commands::moveDomain},
    Command{"vm", "out|in ADDRESS", "take a VM out, or bring it in", 2,
            commands::moveVm},
    Command{"wait", "VERSION", "wait until a version is in force everywhere", 1,
            commands::wait},
    Command{"status", "", "show every node", 0, commands::status},
    Command{"timeline", "", "show the events of all nodes in causal order", 0,
            commands::timeline}};

} // namespace

CommandResult runCommand(CommandContext &context, const Words &words) {
  const auto *const it =
      std::ranges::find(Commands, words.front(), &Command::name);
  if (it == Commands.end())
    return {ExitCode::Usage,
            {},
            "'" + words.front() + "' is not a command; --help lists them\n"};
  const Words arguments(words.begin() + 1, words.end());
  const bool isOptional = it->arguments.starts_with('[');
  const std::size_t most = it->argumentCount + (isOptional ? 1 : 0);
  if (arguments.size() < it->argumentCount || arguments.size() > most)
    return {ExitCode::Usage,
            {},
            "usage: " + std::string(it->name) + " " +
                std::string(it->arguments) + "\n"};
  return it->run(context, arguments);
}

std::string describeCommands() {
  static constexpr std::size_t Width = 26;
  std::string text = "Commands:\n";
  for (const Command &command : Commands) {
    std::string line =
        "  " + std::string(command.name) + " " + std::string(command.arguments);
    line.resize(std::max(Width, line.size() + 1), ' ');
    text += line + std::string(command.description) + "\n";
  }
  text +=
      "  explain REQUEST [LOG...]  show a request's way through the logs of "
      "nodes\n";
  return text;
}

} // namespace plantainhatch
