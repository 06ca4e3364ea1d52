#include "node/RolloutTask.h"

#include "process/Rendezvous.h"

#include <algorithm>
#include <limits>
#include <ranges>

namespace plantainhatch {

namespace {

using Milliseconds = std::chrono::milliseconds;

std::uint32_t toWireAge(Duration age) {
  constexpr Milliseconds Most{std::numeric_limits<std::uint32_t>::max()};
  const auto ms = std::chrono::floor<Milliseconds>(age);
  return static_cast<std::uint32_t>(
      std::clamp(ms, Milliseconds::zero(), Most).count());
}

std::string_view nameOf(RolloutPhase phase) {
  switch (phase) {
  case RolloutPhase::Running:
    return "running";
  case RolloutPhase::Moving:
    return "moving";
  case RolloutPhase::RolledBack:
    return "rolled-back";
  case RolloutPhase::Completed:
    return "completed";
  case RolloutPhase::Unknown:
    break;
  }
  return "unknown";
}

} // namespace

RolloutTask::RolloutTask(NodeServices &services, PeerTask &peers,
                         ConfigurationTask &configuration, MeasureTask &measure,
                         std::optional<RolloutStatusFormat> format)
    : services(services), peers(peers), configuration(configuration),
      measure(measure), format(std::move(format)) {}

Rollout *RolloutTask::find(const std::string &service) {
  const auto entry = entries.find(service);
  return entry == entries.end() ? nullptr : &entry->second.rollout;
}

void RolloutTask::onConfiguration() {
  const auto &site = services.settings.site;
  if (!format || !site || !site->rollout)
    return;
  for (const RolloutRule &rule :
       configuration.current()->rollouts() | std::views::values)
    order(rule, *site->rollout, *format);
  if (!entries.empty() && !timer.isRunning())
    timer.startRepeating(TickInterval, [this] { tick(); });
}

void RolloutTask::order(const RolloutRule &rule,
                        const RolloutSettings &settings,
                        const RolloutStatusFormat &rowFormat) {
  const TimePoint now = NodeServices::now();
  const auto known = entries.find(rule.service);
  if (known == entries.end()) {
    const Rollout::Limits limits{
        settings.exposureShare * TrialPart,
        std::min<Milliseconds>(MaxLease, settings.rollback / 2),
        settings.exposureShare * (1 - TrialPart)};
    entries.emplace(rule.service,
                    Entry{Rollout(rule, limits, services.random(), now),
                          {},
                          new RolloutRow(services, rowFormat, rule),
                          {},
                          {},
                          {},
                          {},
                          0});
  } else if (rule.order > known->second.rollout.rule().order) {
    Entry &entry = known->second;
    entry.rollout.order(rule, now);
    entry.verdict = {};
    entry.row.reset(new RolloutRow(services, rowFormat, rule));
    entry.reportedAt = {};
    entry.repeats = 0;
  } else {
    return;
  }
  Entry &entry = entries.at(rule.service);
  logPhase(entry, "the configuration");
  // Until it knows more, this node may have no target for calls. Without the
  // others it would take itself for the one that decides.
  if (!peers.membership().others().empty())
    step(entry);
}

void RolloutTask::tick() {
  const ScopedControlCpuTimer scope(services.metrics);
  for (Entry &entry : entries | std::views::values)
    step(entry);
}

void RolloutTask::step(Entry &entry) {
  const TimePoint now = NodeServices::now();
  const bool isDue = now - entry.reportedAt >= ReportInterval;
  if (entry.rollout.takeQuestion(now) || isDue) {
    entry.deciders =
        findHighest(peers.membership(),
                    "rollout/" + entry.rollout.rule().service, DeciderCount);
    report(entry);
  }
  if (isDue) {
    entry.reportedAt = now;
    entry.verdict.judge();
  }
  if (isDecider(entry))
    decide(entry);
}

bool RolloutTask::isDecider(const Entry &entry) const {
  return !entry.deciders.empty() &&
         entry.deciders.front() == services.settings.peers;
}

void RolloutTask::report(Entry &entry) {
  Rollout &rollout = entry.rollout;
  if (rollout.isOver())
    return;
  const RolloutReport report{
      rollout.rule().service, rollout.rule().order, rollout.phase(),
      toWireAge(rollout.age(NodeServices::now())), rollout.takeCounts()};
  const Address &self = services.settings.peers;
  if (std::ranges::find(entry.deciders, self) != entry.deciders.end())
    entry.verdict.add(self, peers.membership().self().generation,
                      report.counts);
  std::vector<Address> receivers = entry.deciders;
  std::erase(receivers, self);
  peers.sendToAll(receivers, report);
}

RolloutPhase RolloutTask::wantedRow(const Entry &entry) const {
  const Rollout &rollout = entry.rollout;
  if (rollout.isOver())
    return rollout.phase();
  const TimePoint now = NodeServices::now();
  const auto [move, write] = rollout.times();
  const bool hasMoved =
      rollout.phase() == RolloutPhase::Moving &&
      now - entry.movingSince >=
          std::min<Duration>(Rollout::MinMoveTime, write - move) &&
      rollout.age(now) >= write && room(rollout).isEnough();
  return hasMoved ? RolloutPhase::Completed : RolloutPhase::Running;
}

void RolloutTask::decide(Entry &entry) {
  const TimePoint now = NodeServices::now();
  // Another node may have written the end of the same order.
  enter(entry, entry.row->phase(), entry.rollout.age(now), "the store");
  if (!entry.rollout.isOver())
    advance(entry);
  entry.row->synchronize(wantedRow(entry));
  const bool isUnderWay = entry.rollout.phase() == RolloutPhase::Running ||
                          entry.rollout.phase() == RolloutPhase::Moving;
  if (isUnderWay)
    entry.rollout.onNews(entry.rollout.phase(), Duration::zero(), now);
  const bool isDue = isUnderWay && now - entry.announcedAt >= NewsInterval;
  if (isDue || entry.repeats > 0)
    announce(entry);
}

void RolloutTask::advance(Entry &entry) {
  const Rollout &rollout = entry.rollout;
  const Duration age = rollout.age(NodeServices::now());
  if (entry.verdict.fault())
    enter(entry, RolloutPhase::RolledBack, age, "the answers");
  else if (rollout.phase() == RolloutPhase::Running &&
           age >= rollout.times().move && room(rollout).slots > 0)
    enter(entry, RolloutPhase::Moving, age, "the deadline");
}

RolloutRoom RolloutTask::room(const Rollout &rollout) const {
  return measureRolloutRoom(rollout.rule(), peers.membership(),
                            measure.loadTable(), NodeServices::now());
}

void RolloutTask::enter(Entry &entry, RolloutPhase phase, Duration age,
                        std::string_view from) {
  if (entry.rollout.onNews(phase, age, NodeServices::now()))
    onEntered(entry, from);
}

void RolloutTask::onEntered(Entry &entry, std::string_view from) {
  const RolloutPhase phase = entry.rollout.phase();
  if (phase == RolloutPhase::Moving)
    entry.movingSince = NodeServices::now();
  entry.repeats = DecisionRepeats;
  services.metrics.add("rollout_phases_total",
                       "phase=\"" + std::string(nameOf(phase)) + "\"");
  logPhase(entry, from);
}

void RolloutTask::logPhase(const Entry &entry, std::string_view from) {
  const Rollout &rollout = entry.rollout;
  const auto &fault = entry.verdict.fault();
  const TimePoint now = NodeServices::now();
  services.logDecision(
      DecisionKind::StateChange,
      {{"event", "rollout"},
       {"service", rollout.rule().service},
       {"softwareVersion", rollout.rule().softwareVersion},
       {"order", rollout.rule().order},
       {"phase", nameOf(rollout.phase())},
       {"from", from},
       {"isDecider", isDecider(entry)},
       {"orderedMsAgo",
        std::chrono::floor<Milliseconds>(rollout.age(now)).count()},
       {"reportedMsAgo",
        entry.reportedAt == TimePoint{}
            ? -1
            : std::chrono::floor<Milliseconds>(now - entry.reportedAt).count()},
       {"answers", fault ? fault->answers : entry.verdict.orderedAnswers()},
       {"bad", fault ? fault->bad : 0},
       {"expectedShare", fault ? fault->expected : 0.0},
       {"rule", fault ? fault->rule : std::string()}});
}

RolloutNews RolloutTask::makeNews(const Entry &entry) const {
  const Rollout &rollout = entry.rollout;
  return {rollout.rule().service, rollout.rule().order, rollout.phase(),
          toWireAge(rollout.age(NodeServices::now()))};
}

void RolloutTask::announce(Entry &entry) {
  entry.announcedAt = NodeServices::now();
  entry.repeats -= entry.repeats > 0 ? 1 : 0;
  std::vector<Address> receivers;
  for (const Member &member : peers.membership().others() | std::views::values)
    if (member.isPresent())
      receivers.push_back(member.peersAddress);
  peers.sendToAll(receivers, makeNews(entry));
}

RolloutTask::Entry *RolloutTask::findOrder(const std::string &service,
                                           std::uint64_t order) {
  const auto entry = entries.find(service);
  const bool isKnown =
      entry != entries.end() && entry->second.rollout.rule().order == order;
  return isKnown ? &entry->second : nullptr;
}

void RolloutTask::onMessage(const Message &message) {
  if (const auto *const report = std::get_if<RolloutReport>(&message.body))
    onReport(message.header, *report);
  else if (const auto *const news = std::get_if<RolloutNews>(&message.body))
    onNews(message.header, *news);
}

void RolloutTask::onReport(const MessageHeader &header,
                           const RolloutReport &report) {
  Entry *const entry = findOrder(report.service, report.order);
  if (entry == nullptr)
    return;
  const bool mayDecide = isDecider(*entry);
  if (!entry->rollout.isOver())
    entry->verdict.add(header.sender, header.generation, report.counts);
  // Only the deciding node may renew the leases of the others.
  if (mayDecide && !entry->rollout.isOver())
    enter(*entry, report.phase, Milliseconds(report.ageMs), "a report");
  const RolloutPhase phase = entry->rollout.phase();
  const bool isNews = report.phase < phase;
  if (isNews && (mayDecide || entry->rollout.isOver() ||
                 report.phase == RolloutPhase::Unknown))
    peers.sendWithoutUpdates(header.sender, makeNews(*entry));
}

void RolloutTask::onNews(const MessageHeader &header, const RolloutNews &news) {
  Entry *const entry = findOrder(news.service, news.order);
  if (entry == nullptr)
    return;
  const Milliseconds age(news.ageMs);
  const std::string sender = header.sender.toString();
  // The next one to decide answers those who know nothing.
  const bool isHearsay =
      entry->deciders.size() > 1 && entry->deciders[1] == header.sender;
  if (!isHearsay)
    enter(*entry, news.phase, age, sender);
  else if (entry->rollout.onHearsay(news.phase, age, NodeServices::now()))
    onEntered(*entry, sender);
  if (entry->rollout.isOver() && news.phase < entry->rollout.phase())
    peers.sendWithoutUpdates(header.sender, makeNews(*entry));
}

} // namespace plantainhatch
