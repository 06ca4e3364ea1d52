/** \file
 * Runs the target's stand-in as a process. */
#include "standins/Target.h"

#include <glib-unix.h>
#include <popt.h>

#include <csignal>
#include <iostream>

namespace {

using namespace plantainhatch;

gboolean onTerminate(gpointer data) {
  static_cast<test::Target *>(data)->drain([] { _exit(0); });
  return G_SOURCE_REMOVE;
}

std::string orElse(const char *text, const std::string &other) {
  return text == nullptr ? other : text;
}

} // namespace

int main(int argc, const char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  test::TargetOptions options;
  char *listen = nullptr;
  char *node = nullptr;
  char *service = nullptr;
  char *journal = nullptr;
  char *calls = nullptr;
  int fallsOver = 0;
  int steady = 0;
  int seed = 1;
  const poptOption table[] = {
      {"listen", 0, POPT_ARG_STRING, &listen, 0, nullptr, nullptr},
      {"node", 0, POPT_ARG_STRING, &node, 0, nullptr, nullptr},
      {"service", 0, POPT_ARG_STRING, &service, 0, nullptr, nullptr},
      {"journal", 0, POPT_ARG_STRING, &journal, 0, nullptr, nullptr},
      {"calls", 0, POPT_ARG_STRING, &calls, 0, nullptr, nullptr},
      {"slots", 0, POPT_ARG_INT, &options.slots, 0, nullptr, nullptr},
      {"cold-slots", 0, POPT_ARG_INT, &options.coldSlots, 0, nullptr, nullptr},
      {"connections", 0, POPT_ARG_INT, &options.connections, 0, nullptr,
       nullptr},
      {"service-ms", 0, POPT_ARG_DOUBLE, &options.serviceMs, 0, nullptr,
       nullptr},
      {"warm-after", 0, POPT_ARG_INT, &options.warmAfter, 0, nullptr, nullptr},
      {"falls-over", 0, POPT_ARG_NONE, &fallsOver, 0, nullptr, nullptr},
      {"steady", 0, POPT_ARG_NONE, &steady, 0, nullptr, nullptr},
      {"seed", 0, POPT_ARG_INT, &seed, 0, nullptr, nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("standin-target", argc, argv, table, 0);
  const int ec = poptGetNextOpt(context);
  const auto address = Address::parse(orElse(listen, ""));
  if (ec < -1 || !address) {
    std::cerr
        << "usage: standin-target --listen ADDRESS [--node ADDRESS] ...\n";
    return 2;
  }
  options.listen = *address;
  options.node = Address::parse(orElse(node, "")).value_or(Address{});
  options.service = orElse(service, options.service);
  options.journal = orElse(journal, "");
  options.calls = orElse(calls, "");
  options.fallsOver = fallsOver != 0;
  options.isSteady = steady != 0;
  options.seed = static_cast<std::uint64_t>(seed);
  const auto target = test::Target::start(options);
  if (!target) {
    std::cerr << toString(target.error());
    return 2;
  }
  g_unix_signal_add(SIGTERM, onTerminate, target.value().get());
  g_main_loop_run(g_main_loop_new(nullptr, FALSE));
}
