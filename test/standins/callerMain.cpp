/** \file
 * Runs the callers' stand-in as a process and prints its report as JSON. */
#include "standins/Caller.h"

#include <nlohmann/json.hpp>

#include <popt.h>

#include <csignal>
#include <iostream>
#include <sstream>

int main(int argc, const char **argv) {
  using namespace plantainhatch;
  std::signal(SIGPIPE, SIG_IGN);
  test::CallerOptions options;
  char *nodes = nullptr;
  char *method = nullptr;
  char *path = nullptr;
  int ms = 1000;
  int keys = 0;
  int seed = 1;
  const poptOption table[] = {
      {"nodes", 0, POPT_ARG_STRING, &nodes, 0, nullptr, nullptr},
      {"method", 0, POPT_ARG_STRING, &method, 0, nullptr, nullptr},
      {"path", 0, POPT_ARG_STRING, &path, 0, nullptr, nullptr},
      {"rate", 0, POPT_ARG_DOUBLE, &options.rate, 0, nullptr, nullptr},
      {"ms", 0, POPT_ARG_INT, &ms, 0, nullptr, nullptr},
      {"keys", 0, POPT_ARG_NONE, &keys, 0, nullptr, nullptr},
      {"cancel-every", 0, POPT_ARG_INT, &options.cancelEvery, 0, nullptr,
       nullptr},
      {"seed", 0, POPT_ARG_INT, &seed, 0, nullptr, nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("standin-caller", argc, argv, table, 0);
  const int ec = poptGetNextOpt(context);
  std::istringstream list(nodes == nullptr ? "" : nodes);
  std::string item;
  while (std::getline(list, item, ','))
    if (const auto address = Address::parse(item))
      options.nodes.push_back(*address);
  if (ec < -1 || options.nodes.empty()) {
    std::cerr << "usage: standin-caller --nodes ADDRESS,... [--rate N] [--ms "
                 "N] ...\n";
    return 2;
  }
  if (method != nullptr)
    options.method = method;
  if (path != nullptr)
    options.path = path;
  options.duration = std::chrono::milliseconds(ms);
  options.hasKeys = keys != 0;
  options.seed = static_cast<std::uint64_t>(seed);
  std::cout << test::Caller(options).run().toJson().dump(2) << "\n";
}
