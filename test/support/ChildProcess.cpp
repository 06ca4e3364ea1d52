#include "support/ChildProcess.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>

namespace plantainhatch::test {

ChildProcess::ChildProcess(const std::vector<std::string> &words,
                           const std::string &logFile) {
  const GObjectPtr<GSubprocessLauncher> launcher(
      g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE));
  g_subprocess_launcher_set_stderr_file_path(launcher.get(), logFile.c_str());
  g_subprocess_launcher_set_stdout_file_path(launcher.get(),
                                             (logFile + ".out").c_str());
  std::vector<const gchar *> argv;
  argv.reserve(words.size() + 1);
  for (const std::string &word : words)
    argv.push_back(word.c_str());
  argv.push_back(nullptr);
  GError *error = nullptr;
  process.reset(
      g_subprocess_launcher_spawnv(launcher.get(), argv.data(), &error));
  if (!process) {
    std::cerr << words.front() << ": " << error->message << "\n";
    std::abort();
  }
  // There is none any more if the program has ended already.
  const char *const identifier = g_subprocess_get_identifier(process.get());
  processId = identifier == nullptr ? 0 : std::atoi(identifier);
}

ChildProcess::~ChildProcess() { kill(); }

void ChildProcess::signal(int number) {
  g_subprocess_send_signal(process.get(), number);
}

void ChildProcess::suspend() {
  // The signal is sent by another thread.
  signal(SIGSTOP);
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(1);
  std::string fields;
  while (fields.find(") T") == std::string::npos &&
         std::chrono::steady_clock::now() < end) {
    std::ifstream file("/proc/" + std::to_string(processId) + "/stat");
    std::getline(file, fields);
  }
}

void ChildProcess::kill() {
  g_subprocess_force_exit(process.get());
  g_subprocess_wait(process.get(), nullptr, nullptr);
}

int ChildProcess::wait() {
  g_subprocess_wait(process.get(), nullptr, nullptr);
  return g_subprocess_get_if_exited(process.get()) != FALSE
             ? g_subprocess_get_exit_status(process.get())
             : -1;
}

bool ChildProcess::isRunning() const {
  return g_subprocess_get_identifier(process.get()) != nullptr;
}

std::string binFolder() { return PLANTAINHATCH_BIN; }

} // namespace plantainhatch::test
