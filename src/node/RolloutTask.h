/** \file
 * Carries out the orders to move services to other versions of their
 * software. */
#ifndef PLANTAINHATCH_NODE_ROLLOUTTASK_H
#define PLANTAINHATCH_NODE_ROLLOUTTASK_H

#include "node/ConfigurationTask.h"
#include "node/MeasureTask.h"
#include "node/PeerTask.h"
#include "node/RolloutRow.h"
#include "process/Rollout.h"
#include "process/RolloutVerdict.h"
#include "request/measureRolloutRoom.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainhatch {

/** Takes the orders from the configuration, tells the deciding nodes what was
 * answered here, and decides if this node has the highest hash for the service.
 * Does nothing without NodeSettings::site and its roll-out figures. Main loop
 * only. */
class RolloutTask {
public:
  static constexpr std::chrono::milliseconds TickInterval{50};
  /** Interval of reports, and of looking up who decides. */
  static constexpr std::chrono::milliseconds ReportInterval{500};
  /** Interval at which the deciding node says that a roll-out goes on. */
  static constexpr std::chrono::milliseconds NewsInterval{1'000};
  /** A node that has not heard so for this long, or for half of the time that
   * roll-backs may take, tries nothing out. */
  static constexpr std::chrono::milliseconds MaxLease{2'500};
  /** The decision is said this many times, as messages get lost. */
  static constexpr unsigned DecisionRepeats = 3;
  /** Nodes that get all reports: the one that decides, and the next one. */
  static constexpr std::size_t DeciderCount = 2;
  /** Trials as a part of what a bad version may get. The rest is for the calls
   * that move before the deadline, and for calls that never arrive. */
  static constexpr double TrialPart = 0.4;
  /** \param format nothing if there are no roll-outs. The other arguments must
   * outlive this task. */
  RolloutTask(NodeServices &services, PeerTask &peers,
              ConfigurationTask &configuration, MeasureTask &measure,
              std::optional<RolloutStatusFormat> format);

  /** The orders for \p service; nullptr if there was none. Valid until the next
   * change of the configuration. */
  Rollout *find(const std::string &service);

  /** Takes over the orders of the configuration in force. */
  void onConfiguration();

  /** Takes reports and news; ignores other messages. */
  void onMessage(const Message &message);

private:
  struct Entry {
    Rollout rollout;
    RolloutVerdict verdict;
    RolloutRowPtr row;
    /** The deciding nodes as of the latest report; the first one decides. */
    std::vector<Address> deciders;
    TimePoint reportedAt;
    TimePoint announcedAt;
    TimePoint movingSince;
    unsigned repeats = 0;
  };

  NodeServices &services;
  PeerTask &peers;
  ConfigurationTask &configuration;
  MeasureTask &measure;
  const std::optional<RolloutStatusFormat> format;
  std::map<std::string, Entry> entries;
  Timer timer;

  void order(const RolloutRule &rule, const RolloutSettings &settings,
             const RolloutStatusFormat &rowFormat);
  void tick();
  void step(Entry &entry);
  void report(Entry &entry);
  bool isDecider(const Entry &entry) const;
  void decide(Entry &entry);
  /** Judges the version, and moves the calls in time. */
  void advance(Entry &entry);
  /** What the row should say. */
  RolloutPhase wantedRow(const Entry &entry) const;
  RolloutRoom room(const Rollout &rollout) const;
  void enter(Entry &entry, RolloutPhase phase, Duration age,
             std::string_view from);
  /** Follows a change of the phase. */
  void onEntered(Entry &entry, std::string_view from);
  void logPhase(const Entry &entry, std::string_view from);
  RolloutNews makeNews(const Entry &entry) const;
  void announce(Entry &entry);
  void onReport(const MessageHeader &header, const RolloutReport &report);
  void onNews(const MessageHeader &header, const RolloutNews &news);
  Entry *findOrder(const std::string &service, std::uint64_t order);
};

} // namespace plantainhatch

#endif
