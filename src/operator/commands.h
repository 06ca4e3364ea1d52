/** \file
 * The operators' commands. */
#ifndef PLANTAINHATCH_OPERATOR_COMMANDS_H
#define PLANTAINHATCH_OPERATOR_COMMANDS_H

#include "operator/CommandContext.h"
#include "operator/Console.h"

#include <string>
#include <vector>

/** Each command takes its arguments, whose number was checked, and returns its
 * result. */
namespace plantainhatch::commands {

CommandResult check(CommandContext &context,
                    const std::vector<std::string> &arguments);
CommandResult apply(CommandContext &context,
                    const std::vector<std::string> &arguments);
CommandResult show(CommandContext &context,
                   const std::vector<std::string> &arguments);
CommandResult history(CommandContext &context,
                      const std::vector<std::string> &arguments);
CommandResult moveDomain(CommandContext &context,
                         const std::vector<std::string> &arguments);
CommandResult moveVm(CommandContext &context,
                     const std::vector<std::string> &arguments);
CommandResult wait(CommandContext &context,
                   const std::vector<std::string> &arguments);
CommandResult status(CommandContext &context,
                     const std::vector<std::string> &arguments);
CommandResult timeline(CommandContext &context,
                       const std::vector<std::string> &arguments);

} // namespace plantainhatch::commands

#endif
