/** \file
 * What the main functions of all tools share. */
#ifndef PLANTAINHATCH_TOOLS_RUNTOOL_H
#define PLANTAINHATCH_TOOLS_RUNTOOL_H

#include <csignal>
#include <exception>
#include <iostream>

namespace plantainhatch::tools {

/** Runs a tool. \return its exit code, or 1 after an exception. */
template <typename Run> int runTool(const Run &run) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run();
  } catch (const std::exception &error) {
    std::cerr << "an answer could not be read: " << error.what() << "\n";
    return 1;
  }
}

} // namespace plantainhatch::tools

#endif
