/** \file
 * What calls need of the local target, and who has had it lately. */
#ifndef PLANTAINHATCH_PROCESS_ROOMLEDGER_H
#define PLANTAINHATCH_PROCESS_ROOMLEDGER_H

#include "base/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace plantainhatch {

/** How long calls of a kind take at a target of normal speed. */
struct CallWork {
  Duration mean{};
  /** Hardly any call takes less. */
  Duration least{};
};

/** Observes the work of each kind of call, and which group of callers has used
 * how much of the target in the last seconds. Time is an argument. Not
 * thread-safe. */
class RoomLedger {
public:
  /** Kinds, and groups, that are kept at most. More kinds are not observed; of
   * the groups, the one that has used least is forgotten. */
  static constexpr std::size_t MaxEntries = 512;
  /** What a group has used counts half as much after this time. */
  static constexpr std::chrono::seconds HalfLife{1};

  /** A call of \p kind was answered after \p time, by a target that takes
   * \p slowdown times as long as normal. */
  void onAnswered(const std::string &kind, Duration time, double slowdown);

  /** The work of \p kind; nothing before enough calls have been answered. */
  std::optional<CallWork> workOf(const std::string &kind) const;

  /** A call of \p group that needs \p work has started. */
  void onStarted(const std::string &group, Duration work, TimePoint now);

  /** The work of the group's calls that started lately. */
  Duration usedBy(const std::string &group, TimePoint now) const;

private:
  struct Kind {
    CallWork work;
    unsigned answers = 0;
  };
  struct Use {
    Duration amount{};
    TimePoint at;

    Duration decayed(TimePoint now) const;
  };

  std::map<std::string, Kind> kinds;
  std::map<std::string, Use> uses;

  void forgetLeast(TimePoint now);
};

} // namespace plantainhatch

#endif
