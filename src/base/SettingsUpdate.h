/** \file
 * What a change of the settings file means for a node that runs. */
#ifndef PLANTAINHATCH_BASE_SETTINGSUPDATE_H
#define PLANTAINHATCH_BASE_SETTINGSUPDATE_H

#include "base/Settings.h"

#include <string>
#include <vector>

namespace plantainhatch {

/** Settings after a change of the file. */
struct SettingsUpdate {
  /** The settings to use from now on. */
  NodeSettings settings;
  /** Changed fields that take effect at once. */
  std::vector<std::string> applied;
  /** Changed fields that keep their values until the next start, as sockets and
   * the identity of the node depend on them. */
  std::vector<std::string> deferred;
};

/** Determines which fields of \p next a node that runs with \p current takes
 * over. Pure. */
SettingsUpdate makeSettingsUpdate(const NodeSettings &current,
                                  const NodeSettings &next);

} // namespace plantainhatch

#endif
