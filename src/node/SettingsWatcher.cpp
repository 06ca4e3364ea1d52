#include "node/SettingsWatcher.h"

#include <glib.h>
#include <glog/logging.h>

#include <utility>

namespace plantainhatch {

SettingsWatcher::SettingsWatcher(std::string fileName, std::string content,
                                 ChangeCallback onChange)
    : fileName(std::move(fileName)), lastSeen(std::move(content)),
      changeCallback(std::move(onChange)) {
  if (g_file_test(this->fileName.c_str(), G_FILE_TEST_IS_REGULAR) != FALSE)
    timer.startRepeating(PollInterval, [this] { check(); });
}

void SettingsWatcher::check() {
  if (!timer.isRunning())
    return;
  const auto content = readFile(fileName);
  std::string seen = content ? content.value() : toString(content.error());
  if (seen == lastSeen)
    return;
  lastSeen = std::move(seen);
  const auto settings =
      content ? parseNodeSettings(fileName, lastSeen) : content.error();
  if (settings)
    changeCallback(settings.value());
  else
    LOG(ERROR) << "settings: the present ones stay in force, as the file has "
                  "faults: "
               << toString(settings.error());
}

} // namespace plantainhatch
