/** \file
 * The row in which operators read how far a roll-out is. */
#ifndef PLANTAINHATCH_PROCESS_ROLLOUTSTATUS_H
#define PLANTAINHATCH_PROCESS_ROLLOUTSTATUS_H

#include "process/RolloutPhase.h"

#include <functional>
#include <optional>
#include <string>

namespace plantainhatch {

/** The content of the row. */
struct RolloutStatus {
  /** Running, RolledBack or Completed. */
  RolloutPhase phase = RolloutPhase::Running;
  std::string softwareVersion;
  /** Number of the order that it is about. */
  std::uint64_t order = 0;
};

/** Where the rows are and how they are written. */
struct RolloutStatusFormat {
  std::string table;
  /** Before the name of the service. */
  std::string keyPrefix;
  std::function<std::string(const RolloutStatus &)> encode;
  /** Nothing if the text is no such row. */
  std::function<std::optional<RolloutStatus>(const std::string &)> decode;
};

} // namespace plantainhatch

#endif
