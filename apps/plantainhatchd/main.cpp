/** \file
 * The node's program: reads settings, runs a node until it is told to stop. */
#include "node/Node.h"
#include "node/SettingsWatcher.h"
#include "platform/Adapter.h"

#include <glib-unix.h>
#include <glog/logging.h>
#include <popt.h>

#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

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
  /** Stops what runs, and calls its argument when that is done. */
  std::function<void(std::function<void()>)> stop;
  SettingsWatcher *settings = nullptr;
};

gboolean onStopSignal(gpointer data) {
  auto *const running = static_cast<Running *>(data);
  running->stop([loop = running->loop] { g_main_loop_quit(loop); });
  return G_SOURCE_CONTINUE;
}

gboolean onReloadSignal(gpointer data) {
  LOG(INFO) << "settings: told to read the file again";
  static_cast<Running *>(data)->settings->check();
  return G_SOURCE_CONTINUE;
}

/** Lets SIGHUP wait, or takes it. Its default action ends a process, and one
 * may come before the handler stands. */
void holdReloadSignal(bool isHeld) {
  sigset_t signals{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(isHeld ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

int runLoop(Running &running) {
  running.loop = g_main_loop_new(nullptr, FALSE);
  g_unix_signal_add(SIGTERM, onStopSignal, &running);
  g_unix_signal_add(SIGINT, onStopSignal, &running);
  g_unix_signal_add(SIGHUP, onReloadSignal, &running);
  holdReloadSignal(false);
  g_main_loop_run(running.loop);
  g_main_loop_unref(running.loop);
  return ExitDone;
}

/** Runs \p started, a node or what drives one, until it is told to stop. */
template <typename T>
int runUntilStopped(Checked<std::unique_ptr<T>> started,
                    const std::string &settingsFile,
                    const std::string &settingsContent) {
  if (!started) {
    std::cerr << toString(started.error());
    return ExitUsage;
  }
  const std::unique_ptr<T> subject = std::move(started).value();
  SettingsWatcher settings(
      settingsFile, settingsContent,
      [&subject](const NodeSettings &it) { subject->updateSettings(it); });
  Running running;
  running.settings = &settings;
  running.stop = [&subject](std::function<void()> done) {
    subject->stop(std::move(done));
  };
  return runLoop(running);
}

int run(const Arguments &arguments) {
  const auto content = readFile(arguments.settings);
  if (!content) {
    std::cerr << toString(content.error());
    return ExitUsage;
  }
  auto settings = parseNodeSettings(arguments.settings, content.value());
  if (!settings) {
    std::cerr << toString(settings.error());
    return ExitUsage;
  }
  const std::string policyName =
      arguments.policy == nullptr ? "hot-cold" : arguments.policy;
  const auto policy = makePickPolicy(policyName);
  if (!policy) {
    std::cerr << "--policy: '" << policyName
              << "' is not hot-cold, expected-end, random, round-robin or "
                 "least-in-flight\n";
    return ExitUsage;
  }
  if (settings.value().site)
    return runUntilStopped(
        platform::Adapter::start(std::move(settings).value()),
        arguments.settings, content.value());
  return runUntilStopped(Node::start(std::move(settings).value(), *policy),
                         arguments.settings, content.value());
}

} // namespace

int main(int argc, const char **argv) {
  holdReloadSignal(true);
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  std::signal(SIGPIPE, SIG_IGN);
  Arguments arguments;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &arguments.settings, 0,
       "the node's settings", "FILE"},
      {"policy", 0, POPT_ARG_STRING, &arguments.policy, 0,
       "how targets are picked: hot-cold (default), expected-end, random, "
       "round-robin, least-in-flight; at a site always expected-end",
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
