/** \file
 * What a command leaves behind: its output and its exit code. */
#ifndef PLANTAINHATCH_OPERATOR_CONSOLE_H
#define PLANTAINHATCH_OPERATOR_CONSOLE_H

#include <string>

namespace plantainhatch {

/** Exit codes of both programs. */
enum class ExitCode : int { Done = 0, Refused = 1, Usage = 2 };

/** The result of one command. */
struct CommandResult {
  ExitCode code = ExitCode::Done;
  /** Data for standard output. */
  std::string output;
  /** Messages for standard error. */
  std::string messages;
};

/** A result that refuses. */
inline CommandResult refused(std::string message) {
  return {ExitCode::Refused, {}, std::move(message) + "\n"};
}

} // namespace plantainhatch

#endif
