/** \file
 * What every command works with. */
#ifndef PLANTAINHATCH_OPERATOR_COMMANDCONTEXT_H
#define PLANTAINHATCH_OPERATOR_COMMANDCONTEXT_H

#include "base/Settings.h"
#include "operator/ConfigurationStore.h"
#include "operator/NodeClient.h"
#include "platform/StoreClient.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace plantainhatch {

/** Options of the command line, for all commands. */
struct CommandOptions {
  bool isJson = false;
  bool isFollowing = false;
  std::string author;
  std::string since;
  std::string filter;
  std::optional<std::uint64_t> expectedVersion;
  std::chrono::seconds timeout{30};
};

/** Settings, options and clients of one run. */
struct CommandContext {
  CommandContext(OperatorSettings operatorSettings,
                 CommandOptions commandOptions)
      : settings(std::move(operatorSettings)),
        options(std::move(commandOptions)), platform(settings.platform),
        store(settings.cluster, platform) {}

  OperatorSettings settings;
  CommandOptions options;
  StoreClient platform;
  ConfigurationStore store;
  NodeClient nodes;
  /** Prints data at once, for commands that do not end by themselves. */
  std::function<void(const std::string &)> print;
};

} // namespace plantainhatch

#endif
