/** \file
 * A process that a test has started. */
#ifndef PLANTAINHATCH_TEST_SUPPORT_CHILDPROCESS_H
#define PLANTAINHATCH_TEST_SUPPORT_CHILDPROCESS_H

#include "connection/GObjectPtr.h"

#include <string>
#include <vector>

namespace plantainhatch::test {

/** Starts a process, and ends it by its id when destroyed. */
class ChildProcess {
public:
  /** \param words is the program and its arguments. \param logFile takes its
   * standard error. */
  ChildProcess(const std::vector<std::string> &words,
               const std::string &logFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  ChildProcess(ChildProcess &&) = delete;
  ChildProcess &operator=(ChildProcess &&) = delete;

  /** Sends a signal. */
  void signal(int number);
  /** Sends SIGSTOP and waits until it has stopped, for a second at most. */
  void suspend();
  /** Kills it and waits for its end. */
  void kill();
  /** Waits for its end. \return the exit code, or -1 if it was ended by a
   * signal. */
  int wait();
  bool isRunning() const;
  int id() const { return processId; }

private:
  GObjectPtr<GSubprocess> process;
  int processId = 0;
};

/** The folder of the programs that were built. */
std::string binFolder();

} // namespace plantainhatch::test

#endif
