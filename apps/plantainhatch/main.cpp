/** \file
 * The operators' program: reads settings and runs one command. */
#include "operator/explainRequest.h"
#include "operator/runCommand.h"

#include <glog/logging.h>
#include <popt.h>

#include <fstream>
#include <iostream>
#include <list>
#include <memory>

namespace {

using namespace plantainhatch;

/** What the command line says. */
struct Arguments {
  char *settings = nullptr;
  char *author = nullptr;
  char *since = nullptr;
  char *filter = nullptr;
  long expected = -1;
  long timeoutSeconds = -1;
  int json = 0;
  int follow = 0;
  int version = 0;
};

std::string orEmpty(const char *text) { return text == nullptr ? "" : text; }

CommandOptions toOptions(const Arguments &arguments) {
  CommandOptions options;
  options.isJson = arguments.json != 0;
  options.isFollowing = arguments.follow != 0;
  options.author = orEmpty(arguments.author);
  options.since = orEmpty(arguments.since);
  options.filter = orEmpty(arguments.filter);
  if (arguments.expected >= 0)
    options.expectedVersion = static_cast<std::uint64_t>(arguments.expected);
  if (arguments.timeoutSeconds >= 0)
    options.timeout = std::chrono::seconds(arguments.timeoutSeconds);
  return options;
}

int finish(const CommandResult &result) {
  std::cout << result.output << std::flush;
  std::cerr << result.messages;
  return static_cast<int>(result.code);
}

CommandResult usage(const std::string &message) {
  return {ExitCode::Usage, {}, message + "\n"};
}

CommandResult explain(const std::vector<std::string> &words) {
  if (words.size() < 2)
    return usage("usage: explain REQUEST [LOG...]");
  std::list<std::ifstream> files;
  std::vector<std::istream *> logs;
  for (std::size_t n = 2; n < words.size(); ++n) {
    if (!files.emplace_back(words[n]).is_open())
      return usage(words[n] + ": cannot be read");
    logs.push_back(&files.back());
  }
  if (logs.empty())
    logs.push_back(&std::cin);
  return explainRequest(words[1], logs);
}

CommandResult run(const Arguments &arguments,
                  const std::vector<std::string> &words) {
  if (words.empty())
    return usage("a command is missing; --help lists them");
  // Rules are checked without any cluster.
  if (words.front() == "check" && words.size() == 2)
    return checkRules(words[1]);
  // Logs are read without any cluster, too.
  if (words.front() == "explain")
    return explain(words);
  if (arguments.settings == nullptr)
    return usage("--settings is missing; --help tells more");
  auto settings = readOperatorSettings(arguments.settings);
  if (!settings)
    return {ExitCode::Usage, {}, toString(settings.error())};
  CommandContext context(std::move(settings).value(), toOptions(arguments));
  context.print = [](const std::string &text) {
    std::cout << text << std::flush;
  };
  return runCommand(context, words);
}

void printHelp(poptContext context) {
  poptPrintHelp(context, stdout, 0);
  std::cout << "\n" << describeCommands();
}

} // namespace

int main(int argc, const char **argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  Arguments arguments;
  int help = 0;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &arguments.settings, 0,
       "the operators' settings", "FILE"},
      {"who", 'w', POPT_ARG_STRING, &arguments.author, 0,
       "who asked for the change", "NAME"},
      {"expect", 0, POPT_ARG_LONG, &arguments.expected, 0,
       "refuse unless this version is the accepted one", "VERSION"},
      {"timeout", 0, POPT_ARG_LONG, &arguments.timeoutSeconds, 0,
       "how long wait and --follow go on", "SECONDS"},
      {"since", 0, POPT_ARG_STRING, &arguments.since, 0,
       "events later than this, such as 5m", "TIME"},
      {"filter", 0, POPT_ARG_STRING, &arguments.filter, 0,
       "events that contain this text", "TEXT"},
      {"follow", 'f', POPT_ARG_NONE, &arguments.follow, 0,
       "go on with new events", nullptr},
      {"json", 'j', POPT_ARG_NONE, &arguments.json, 0, "print data as JSON",
       nullptr},
      {"version", 0, POPT_ARG_NONE, &arguments.version, 0, "print the version",
       nullptr},
      {"help", '?', POPT_ARG_NONE, &help, 0, "print this", nullptr},
      POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("plantainhatch", argc, argv, options, 0), poptFreeContext);
  poptSetOtherOptionHelp(context.get(), "[OPTION...] COMMAND [ARGUMENT...]");
  const int ec = poptGetNextOpt(context.get());
  if (ec < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(ec)
              << "\n";
    return static_cast<int>(ExitCode::Usage);
  }
  if (help != 0) {
    printHelp(context.get());
    return static_cast<int>(ExitCode::Done);
  }
  if (arguments.version != 0) {
    std::cout << "plantainhatch " PLANTAINHATCH_VERSION "\n";
    return static_cast<int>(ExitCode::Done);
  }
  std::vector<std::string> words;
  while (const char *const word = poptGetArg(context.get()))
    words.emplace_back(word);
  return finish(run(arguments, words));
}
