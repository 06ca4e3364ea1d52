#include "node/GateTask.h"

#include "process/metricLabel.h"
#include "request/CallDecision.h"

#include <algorithm>

namespace plantainhatch {

namespace {

constexpr std::chrono::milliseconds TickInterval{20};

/** The same time; the longest one stays so, as it does not fit. */
Duration toDuration(std::chrono::milliseconds time) {
  return time == std::chrono::milliseconds::max() ? Duration::max()
                                                  : Duration(time);
}

/** The team of one rule: its calls share one part of the room. */
std::string groupOf(const DispatchRequest &request,
                    const std::string &teamHeader) {
  std::string group = request.kind;
  if (const auto team = teamHeader.empty()
                            ? std::nullopt
                            : findHeader(request.request->headers, teamHeader))
    group.append("/").append(*team);
  return group;
}

} // namespace

GateTask::GateTask(NodeServices &services, PeerTask &peers,
                   ConfigurationTask &configuration, CrashTask &crashes)
    : services(services), peers(peers), configuration(configuration),
      crashes(crashes), connectionWatcher([this] { gate.suspectRestart(); }) {
  // The queue of a site's target keeps its capacity: most rules there have a
  // target latency, which a longer wait would use up.
  if (!services.settings.site)
    gate.setBurstWait(CallDecision::RetryAfterWhenFull);
  tickTimer.startRepeating(TickInterval, [this] { tick(); });
  configuration.addAdoptionListener(
      [this](const ConfigurationPtr & /*before*/) { updateClosedReason(); });
}

GateCallPtr GateTask::dispatch(DispatchRequest request,
                               GateCall::Receiver receiver) {
  updateClosedReason();
  const TimePoint now = NodeServices::now();
  const GateRequest gateRequest{
      nextId++,
      request.service,
      request.fingerprint,
      request.deadline,
      request.mayQueue,
      request.priority,
      toDuration(request.maxColdWait),
      request.dueAt,
      request.kind,
      groupOf(request, services.callProtocol.teamHeader),
      request.isNested};
  const bool isQuarantined = crashes.isQuarantined(request.fingerprint);
  GateCallPtr call(new GateCall(*this, gateRequest.id, std::move(request),
                                std::move(receiver)));
  if (isQuarantined) {
    call->refuse(Refusal::Quarantined);
    return call;
  }
  if (configuration.isTooOld(call->version())) {
    services.metrics.add("gate_refused_total", R"(reason="outdated")");
    call->refuse(Refusal::Outdated);
    return call;
  }
  if (call->isRepeat() && mayRepeat && !mayRepeat()) {
    services.metrics.add("gate_refused_total", R"(reason="repeat-budget")");
    call->refuse(Refusal::RepeatBudget);
    return call;
  }
  const Admission admission = gate.admit(gateRequest, now);
  switch (admission.kind) {
  case Admission::Kind::Admitted:
    call->start();
    break;
  case Admission::Kind::Queued:
    waiting.push_back(*call);
    if (admission.displaced)
      applyQueueResults({{*admission.displaced, Refusal::Displaced}});
    break;
  case Admission::Kind::Refused:
    services.metrics.add("gate_refused_total",
                         metricLabel("reason", toString(admission.refusal)));
    services.events.count(EventKind::CallsRefused, gateRequest.service,
                          std::string(toString(admission.refusal)));
    call->refuse(admission.refusal);
    break;
  }
  return call;
}

void GateTask::announce(const Target &target) {
  const std::string oldBootId = gate.target().bootId;
  const bool isNewInstance = gate.announce(target);
  announcedAt = NodeServices::now();
  // In site mode, health checks are frequent enough to do without the
  // connection watcher.
  if (!services.settings.site)
    connectionWatcher.watch(target.address);
  if (isNewInstance) {
    callsOtherServices = false;
    crashes.onTargetStarted(oldBootId);
    services.record(EventKind::TargetAnnounced, target.address.toString(),
                    "serves " + target.service + " with " +
                        std::to_string(target.slots) + " slots, " +
                        std::to_string(target.coldSlots) + " while cold",
                    "boot ID " + target.bootId);
  }
  publishTarget();
}

bool GateTask::leave(const std::string &bootId) {
  if (!gate.leave(bootId))
    return false;
  services.record(EventKind::TargetLeaving, gate.target().address.toString(),
                  "receives no new work",
                  "the target announced that it is leaving");
  applyQueueResults(gate.expire(NodeServices::now()));
  publishTarget();
  return true;
}

void GateTask::stop() {
  isStopping = true;
  updateClosedReason();
}

void GateTask::onIngressCall(const std::string &requestId) {
  if (callsOtherServices || !idsInFlight.contains(requestId))
    return;
  callsOtherServices = true;
  publishTarget();
}

LoadReport GateTask::load() const {
  const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(
      gate.expectedLatency(NodeServices::now()));
  LoadReport report;
  report.inFlight = static_cast<std::uint16_t>(gate.inFlight() + gate.queued());
  const TimePoint now = NodeServices::now();
  report.limit = static_cast<std::uint16_t>(gate.limitAt(now));
  constexpr double Percent = 100;
  report.slowdownPercent = static_cast<std::uint16_t>(
      std::clamp(gate.slowdown() * Percent, 1.0, 65'535.0));
  report.isCold = gate.isRateLimited(now);
  report.failurePercent =
      static_cast<std::uint16_t>(gate.failureRate(now) * Percent);
  report.latencyUs = static_cast<std::uint32_t>(std::min<std::int64_t>(
      latency.count(), std::numeric_limits<std::uint32_t>::max()));
  return report;
}

void GateTask::tick() {
  updateClosedReason();
  expireTarget();
  applyQueueResults(gate.poll(NodeServices::now()));
}

void GateTask::setColdRateLimit(const ColdRateLimit &rateLimit,
                                TimePoint until) {
  const TimePoint now = NodeServices::now();
  const bool wasCold = gate.isRateLimited(now);
  gate.setColdRateLimit(rateLimit, until);
  if (gate.isRateLimited(now) != wasCold && loadStepCallback)
    loadStepCallback();
}

void GateTask::updateLoad(const TargetLoad &load) {
  // Smaller changes reach other nodes with the answers to their calls.
  constexpr double StepFactor = 1.6;
  gate.setSlowdown(load.slowdown);
  const bool isStep = load.slowdown > publishedSlowdown * StepFactor ||
                      load.slowdown * StepFactor < publishedSlowdown;
  if (!isStep)
    return;
  publishedSlowdown = load.slowdown;
  if (loadStepCallback)
    loadStepCallback();
}

void GateTask::updateClosedReason() { gate.setClosedReason(closedReason()); }

Refusal GateTask::closedReason() const {
  if (isStopping)
    return Refusal::NodeStopping;
  if (configuration.isStale())
    return Refusal::Stale;
  const NodeSettings &settings = services.settings;
  const Configuration &current = *configuration.current();
  if (current.findDomainOut(settings.failureDomain) != nullptr)
    return Refusal::DomainOut;
  const auto isOut = [&](const Address &address) {
    return current.findVmOut(address) != nullptr;
  };
  const bool isVmOut = isOut(settings.callers) || isOut(settings.peers) ||
                       isOut(settings.targets) || isOut(gate.target().address);
  return isVmOut ? Refusal::VmOut : Refusal::None;
}

void GateTask::expireTarget() {
  const bool isLate = NodeServices::now() - announcedAt > announcementTtl();
  if (isLate && gate.target().state != TargetState::Absent)
    markTargetLost("the target did not renew its announcement in time");
}

Duration GateTask::announcementTtl() const {
  // In site mode, heartbeats have long intervals and may be late, and health
  // checks also detect a target that is down.
  constexpr std::chrono::seconds SiteLifetime{8};
  return services.settings.site ? Duration(SiteLifetime)
                                : Duration(AnnouncementTtl);
}

void GateTask::markTargetLost(const std::string &why) {
  if (gate.target().state == TargetState::Absent)
    return;
  gate.onTargetLost();
  services.record(EventKind::TargetLost, gate.target().address.toString(),
                  "receives no new work until it announces itself again", why);
  recordLimitCut();
  publishTarget();
}

void GateTask::publishTarget() {
  // A target changes between cold and warm often. The nodes that call it learn
  // that from its load reports; through the membership, each change would be
  // sent to every node of the fleet. A serving target is therefore always
  // published as cold.
  Target published = gate.target();
  if (published.isServing())
    published.state = TargetState::Cold;
  published.callsOtherServices = callsOtherServices;
  peers.setTarget(published);
}

void GateTask::recordLimitCut() {
  const LimitCut cut = gate.takeCut();
  if (cut != LimitCut::None)
    services.record(EventKind::LimitCut, gate.target().address.toString(),
                    "limit is " + std::to_string(gate.limit()), toString(cut));
}

void GateTask::applyQueueResults(const std::vector<QueueResult> &results) {
  for (const QueueResult &result : results) {
    GateCall *const found = findWaiting(result.id);
    if (found == nullptr)
      continue;
    const GateCallPtr call(found);
    call->unlink();
    if (result.refusal == Refusal::None) {
      call->start();
      continue;
    }
    recordTurnedAway(*call, result.refusal);
    call->refuse(result.refusal);
  }
}

void GateTask::recordTurnedAway(const GateCall &call, Refusal refusal) {
  services.metrics.add("gate_turned_away_total",
                       metricLabel("reason", toString(refusal)));
  services.logDecision(DecisionKind::Attempt,
                       {{"event", "turned-away"},
                        {"request", call.requestId()},
                        {"priority", call.priority()},
                        {"reason", toString(refusal)},
                        {"waiting", gate.queued()},
                        {"inFlight", gate.inFlight()},
                        {"limit", gate.limitAt(NodeServices::now())},
                        {"slowdown", gate.slowdown()}});
}

GateCall *GateTask::findWaiting(CallId id) {
  const auto it = std::ranges::find(waiting, id, &GateCall::id);
  return it == waiting.end() ? nullptr : &*it;
}

void GateTask::giveUp(CallId id, GateOutcome outcome) {
  services.metrics.add("gate_given_up_total");
  gate.giveUp(id, outcome, NodeServices::now());
  recordLimitCut();
}

void GateTask::finish(CallId id, GateOutcome outcome) {
  repeatsInFlight.erase(id);
  const TargetState before = gate.target().state;
  const auto results = gate.finish(id, outcome, NodeServices::now());
  recordLimitCut();
  if (gate.target().state != before)
    publishTarget();
  applyQueueResults(results);
}

} // namespace plantainhatch
