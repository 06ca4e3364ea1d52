/** \file
 * Notices changes of the settings file. */
#ifndef PLANTAINHATCH_NODE_SETTINGSWATCHER_H
#define PLANTAINHATCH_NODE_SETTINGSWATCHER_H

#include "base/Settings.h"
#include "connection/Timer.h"

#include <functional>
#include <string>

namespace plantainhatch {

/** Reads the settings file again and again, as it may change without a signal.
 * A file that is missing, half written or faulty changes nothing; that is
 * logged once. Used on the main loop only. */
class SettingsWatcher {
public:
  /** Longest time until a change takes effect. */
  static constexpr std::chrono::milliseconds PollInterval{200};

  using ChangeCallback = std::function<void(const NodeSettings &)>;

  /** \param content is what the settings in force were read from. A file that
   * cannot be read twice, such as a pipe, is not watched. */
  SettingsWatcher(std::string fileName, std::string content,
                  ChangeCallback onChange);

  /** Reads the file at once. */
  void check();

private:
  std::string fileName;
  /** What was read last, or why that was not possible. */
  std::string lastSeen;
  ChangeCallback changeCallback;
  Timer timer;
};

} // namespace plantainhatch

#endif
