/** \file
 * The node's program: reads settings, runs a node until it is told to stop. */
#include "node/Node.h"

#include <glib-unix.h>
#include <glog/logging.h>
#include <popt.h>

#include <csignal>
#include <iostream>
#include <memory>

namespace {

using namespace plantainhatch;

constexpr int ExitDone = 0;
constexpr int ExitUsage = 2;

/** What the command line says. */
struct Arguments {
  char *settings = nullptr;
  char *policy = nullptr;
  int version = 0;
};

/** What signal handlers need. */
struct Running {
  GMainLoop *loop = nullptr;
  Node *node = nullptr;
};

gboolean onStopSignal(gpointer data) {
  auto *const running = static_cast<Running *>(data);
  running->node->stop([loop = running->loop] { g_main_loop_quit(loop); });
  return G_SOURCE_CONTINUE;
}

int run(const Arguments &arguments) {
  auto settings = readNodeSettings(arguments.settings);
  if (!settings) {
    std::cerr << toString(settings.error());
    return ExitUsage;
  }
  const std::string policyName =
      arguments.policy == nullptr ? "hot-cold" : arguments.policy;
  const auto policy = makePickPolicy(policyName);
  if (!policy) {
    std::cerr << "--policy: '" << policyName
              << "' is not hot-cold, random, round-robin or least-in-flight\n";
    return ExitUsage;
  }
  auto node = Node::start(std::move(settings).value(), *policy);
  if (!node) {
    std::cerr << toString(node.error());
    return ExitUsage;
  }
  GMainLoop *const loop = g_main_loop_new(nullptr, FALSE);
  Running running{loop, node.value().get()};
  g_unix_signal_add(SIGTERM, onStopSignal, &running);
  g_unix_signal_add(SIGINT, onStopSignal, &running);
  g_main_loop_run(loop);
  node.value().reset();
  g_main_loop_unref(loop);
  return ExitDone;
}

} // namespace

int main(int argc, const char **argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  std::signal(SIGPIPE, SIG_IGN);
  Arguments arguments;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &arguments.settings, 0,
       "the node's settings", "FILE"},
      {"policy", 0, POPT_ARG_STRING, &arguments.policy, 0,
       "how targets are picked: hot-cold (default), random, round-robin, "
       "least-in-flight",
       "NAME"},
      {"version", 0, POPT_ARG_NONE, &arguments.version, 0, "print the version",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("plantainhatchd", argc, argv, options, 0),
      poptFreeContext);
  const int ec = poptGetNextOpt(context.get());
  if (ec < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(ec)
              << "\n";
    return ExitUsage;
  }
  if (arguments.version != 0) {
    std::cout << "plantainhatchd " PLANTAINHATCH_VERSION "\n";
    return ExitDone;
  }
  if (const char *const extra = poptGetArg(context.get())) {
    std::cerr << extra << ": no arguments are taken\n";
    return ExitUsage;
  }
  if (arguments.settings == nullptr) {
    std::cerr << "--settings is missing; --help tells more\n";
    return ExitUsage;
  }
  return run(arguments);
}
