/** \file
 * Runs the tests of one program. */
#include <csignal>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  // Libraries keep caches until the end of the process.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
