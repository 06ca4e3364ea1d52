/** \file
 * Runs the fault soak: `soak --seed N [--runs N] [--seconds N]`. Each run is
 * one seed; the exit code is 1 if a promise was broken in any. */
#include "soak/Soak.h"

#include <popt.h>

#include <csignal>
#include <iostream>

namespace {

using namespace plantainhatch::test;

/** Prints one run's result. \return whether all promises held. */
bool runOnce(const SoakOptions &options) {
  const SoakReport report = Soak(options).run();
  std::cout << "seed " << options.seed << ": " << report.calls << " calls, "
            << report.served << " served, " << report.faults << " faults, "
            << report.broken.size() << " broken\n";
  for (const std::string &it : report.broken)
    std::cout << "  " << it << "\n";
  std::cout.flush();
  return report.broken.empty();
}

} // namespace

int main(int argc, const char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  int seed = 1;
  int runs = 1;
  int length = 15;
  int machines = 4;
  int domains = 2;
  SoakOptions options;
  const poptOption table[] = {
      {"seed", 0, POPT_ARG_INT, &seed, 0, "the first run's seed", "N"},
      {"runs", 0, POPT_ARG_INT, &runs, 0, "runs, with seeds one by one", "N"},
      {"seconds", 0, POPT_ARG_INT, &length, 0, "length of a run", "N"},
      {"machines", 0, POPT_ARG_INT, &machines, 0, "nodes with a target", "N"},
      {"domains", 0, POPT_ARG_INT, &domains, 0, "failure domains", "N"},
      {"rate", 0, POPT_ARG_DOUBLE, &options.rate, 0, "calls a second", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("soak", argc, argv, table, 0);
  const int ec = poptGetNextOpt(context);
  if (ec < -1 || seed < 0 || runs < 1 || length < 1 || machines < 1 ||
      domains < 1 || options.rate <= 0) {
    std::cerr << "soak: the options must be positive numbers; see --help\n";
    return 2;
  }
  options.length = std::chrono::seconds(length);
  options.machines = static_cast<std::size_t>(machines);
  options.domains = static_cast<std::size_t>(domains);
  int broken = 0;
  for (int n = 0; n < runs; ++n) {
    options.seed =
        static_cast<std::uint64_t>(seed) + static_cast<std::uint64_t>(n);
    if (!runOnce(options))
      ++broken;
  }
  return broken == 0 ? 0 : 1;
}
