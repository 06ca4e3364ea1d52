/** \file
 * Finds a command by its name and runs it. */
#ifndef PLANTAINHATCH_OPERATOR_RUNCOMMAND_H
#define PLANTAINHATCH_OPERATOR_RUNCOMMAND_H

#include "operator/CommandContext.h"
#include "operator/Console.h"

#include <string>
#include <vector>

namespace plantainhatch {

/** Runs \p words, the command's name and its arguments.
 * \return its result; ExitCode::Usage if the words make no command. */
CommandResult runCommand(CommandContext &context,
                         const std::vector<std::string> &words);

/** A line for each command, for help. */
std::string describeCommands();

/** Checks a rules file without any settings. */
CommandResult checkRules(const std::string &fileName);

} // namespace plantainhatch

#endif
