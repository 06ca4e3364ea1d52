/** \file
 * Runs the platform's stand-in as a process. */
#include "standins/Platform.h"

#include <csignal>
#include <iostream>

int main(int argc, char **argv) {
  using namespace plantainhatch;
  std::signal(SIGPIPE, SIG_IGN);
  const auto address = argc == 2 ? Address::parse(argv[1]) : std::nullopt;
  if (!address) {
    std::cerr << "usage: standin-platform ADDRESS\n";
    return 2;
  }
  const auto platform = test::Platform::start(*address);
  if (!platform) {
    std::cerr << toString(platform.error());
    return 2;
  }
  g_main_loop_run(g_main_loop_new(nullptr, FALSE));
}
