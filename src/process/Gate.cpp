#include "process/Gate.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <ranges>

namespace plantainhatch {

namespace {

struct RefusalName {
  Refusal refusal;
  std::string_view name;
};

constexpr std::array RefusalNames{
    RefusalName{Refusal::None, "none"},
    RefusalName{Refusal::Full, "full"},
    RefusalName{Refusal::DeadlineTooClose, "deadline-too-close"},
    RefusalName{Refusal::NoTarget, "no-target"},
    RefusalName{Refusal::WrongService, "wrong-service"},
    RefusalName{Refusal::TargetLeaving, "target-leaving"},
    RefusalName{Refusal::DomainOut, "domain-out"},
    RefusalName{Refusal::VmOut, "vm-out"},
    RefusalName{Refusal::NodeStopping, "node-stopping"},
    RefusalName{Refusal::Quarantined, "quarantined"},
    RefusalName{Refusal::TargetShed, "target-shed"},
    RefusalName{Refusal::NotConnected, "not-connected"},
    RefusalName{Refusal::Stale, "stale"},
    RefusalName{Refusal::WrongTarget, "wrong-target"},
    RefusalName{Refusal::ColdRate, "cold-rate"},
    RefusalName{Refusal::Displaced, "displaced"},
    RefusalName{Refusal::Outdated, "outdated"},
    RefusalName{Refusal::RepeatBudget, "repeat-budget"}};

} // namespace

std::string_view toString(Refusal refusal) {
  const auto *const it =
      std::ranges::find(RefusalNames, refusal, &RefusalName::refusal);
  return it == RefusalNames.end() ? "none" : it->name;
}

Refusal parseRefusal(std::string_view text) {
  const auto *const it =
      std::ranges::find(RefusalNames, text, &RefusalName::name);
  return it == RefusalNames.end() ? Refusal::None : it->refusal;
}

bool Gate::announce(const Target &target) {
  const bool isNewInstance = target.bootId != currentTarget.bootId ||
                             currentTarget.state == TargetState::Absent;
  const bool haveSlotsChanged = target.slots != currentTarget.slots ||
                                target.coldSlots != currentTarget.coldSlots;
  const bool wasLeaving =
      currentTarget.state == TargetState::Leaving && !isNewInstance;
  currentTarget = target;
  isRestartSuspected = false;
  if (isNewInstance || haveSlotsChanged) {
    gateLimit.start(target.coldSlots, target.slots);
    peak = 0;
  }
  if (isNewInstance)
    recentStarts.clear();
  if (wasLeaving)
    currentTarget.state = TargetState::Leaving;
  else
    currentTarget.state = isCold() ? TargetState::Cold : TargetState::Warm;
  return isNewInstance;
}

bool Gate::leave(const std::string &bootId) {
  if (bootId != currentTarget.bootId ||
      currentTarget.state == TargetState::Absent)
    return false;
  currentTarget.state = TargetState::Leaving;
  return true;
}

unsigned Gate::limit() const {
  if (!isRestartSuspected)
    return gateLimit.limit();
  return std::min<unsigned>(gateLimit.limit(), currentTarget.coldSlots);
}

unsigned Gate::limitAt(TimePoint now) const {
  if (!isRateLimited(now))
    return limit();
  const double uncrowded = currentTarget.slots * UncrowdedShare;
  return std::min(limit(), std::max(1U, static_cast<unsigned>(uncrowded)));
}

void Gate::onTargetLost() {
  currentTarget.state = TargetState::Absent;
  gateLimit.onFailed();
}

Admission Gate::admit(const GateRequest &request, TimePoint now) {
  const Refusal refusal = reasonToRefuse(request, now);
  if (refusal != Refusal::None)
    return {Admission::Kind::Refused, refusal, std::nullopt};
  if (queue.empty() && tryTakeCapacity(now)) {
    start(request, now);
    return {Admission::Kind::Admitted, Refusal::None, std::nullopt};
  }
  const Refusal noCapacity =
      isRateLimited(now) ? Refusal::ColdRate : Refusal::Full;
  if (!request.mayQueue)
    return {Admission::Kind::Refused, noCapacity, std::nullopt};
  if (queue.empty())
    queueEmptyAt = now;
  if (request.dueAt || isPlanned())
    return admitByPlan(request, now);
  const auto ahead = std::ranges::count_if(queue, [&](const GateRequest &it) {
    return it.priority <= request.priority;
  });
  const std::size_t position = static_cast<std::size_t>(ahead) + 1;
  if (!canMeetDeadline(request, position, now))
    return {Admission::Kind::Refused, Refusal::DeadlineTooClose, std::nullopt};
  if (isRateLimited(now) && expectedWait(position, now) > request.maxColdWait)
    return {Admission::Kind::Refused, Refusal::ColdRate, std::nullopt};
  std::optional<CallId> displaced;
  if (!hasQueueRoom(position, now)) {
    displaced = displaceFor(request);
    if (!displaced)
      return {Admission::Kind::Refused, noCapacity, std::nullopt};
  }
  enqueue(request);
  return {Admission::Kind::Queued, Refusal::None, displaced};
}

void Gate::setColdRateLimit(const ColdRateLimit &rateLimit, TimePoint until) {
  coldUntil = until;
  coldRate = rateLimit.callsPerSecond;
  mostColdStartsInASecond = rateLimit.mostInASecond;
  coldRateLimiter.setRateAndCapacity(rateLimit.callsPerSecond, rateLimit.burst);
}

bool Gate::tryTakeCapacity(TimePoint now) {
  if (inFlight() >= limitAt(now))
    return false;
  if (!isRateLimited(now))
    return true;
  dropOldStarts(now);
  return recentStarts.size() < mostColdStartsInASecond &&
         coldRateLimiter.tryTake(1, now);
}

void Gate::dropOldStarts(TimePoint now) {
  while (!recentStarts.empty() &&
         now - recentStarts.front() >= std::chrono::seconds(1))
    recentStarts.pop_front();
}

std::optional<CallId> Gate::displaceFor(const GateRequest &request) {
  if (queue.empty() || queue.back().priority <= request.priority)
    return std::nullopt;
  const CallId id = queue.back().id;
  queue.pop_back();
  return id;
}

void Gate::enqueue(const GateRequest &request) {
  const auto it = std::ranges::upper_bound(queue, request.priority, {},
                                           &GateRequest::priority);
  queue.insert(it, request);
}

void Gate::onAnswerHead(CallId id, TimePoint now, bool isFailure) {
  const auto it = calls.find(id);
  assert(it != calls.end() && "answer for a call that is not in flight");
  const Duration latency = now - it->second.startedAt;
  it->second.latency = latency;
  if (!isFailure && !it->second.kind.empty())
    ledger.onAnswered(it->second.kind, latency, slowdownFactor);
}

void Gate::giveUp(CallId id, GateOutcome outcome, TimePoint now) {
  const auto it = calls.find(id);
  assert(it != calls.end() && "cancellation of a call that is not in flight");
  it->second.isGivenUp = true;
  recordOutcome(it->second, outcome, now);
}

unsigned Gate::inFlightNotGivenUp() const {
  return static_cast<unsigned>(
      std::ranges::count(calls | std::views::values, false, &Call::isGivenUp));
}

std::vector<QueueResult> Gate::finish(CallId id, GateOutcome outcome,
                                      TimePoint now) {
  const auto it = calls.find(id);
  assert(it != calls.end() &&
         "finish() is called once for each call, after its admission");
  recordOutcome(it->second, outcome, now);
  calls.erase(it);
  return drainQueue(now);
}

void Gate::cancelQueued(CallId id) {
  std::erase_if(queue,
                [&](const GateRequest &request) { return request.id == id; });
}

std::vector<QueueResult> Gate::expire(TimePoint now) {
  std::vector<QueueResult> expired;
  std::erase_if(queue, [&](const GateRequest &request) {
    const Refusal refusal = reasonToRefuse(request, now);
    if (refusal == Refusal::None)
      return false;
    expired.push_back({request.id, refusal});
    return true;
  });
  return expired;
}

std::vector<std::uint64_t> Gate::fingerprintsInFlight() const {
  std::vector<std::uint64_t> fingerprints;
  std::ranges::transform(calls | std::views::values,
                         std::back_inserter(fingerprints), &Call::fingerprint);
  std::ranges::sort(fingerprints);
  const auto [first, last] = std::ranges::unique(fingerprints);
  fingerprints.erase(first, last);
  return fingerprints;
}

Duration Gate::expectedLatency(TimePoint now) const {
  const auto latencyOf = [&](const Call &call) {
    return call.latency.value_or(now - call.startedAt);
  };
  const std::chrono::duration<double> idle = now - lastCompletedAt;
  const double decay =
      std::exp2(-idle / std::chrono::duration<double>(LatencyHalfLife));
  auto expected = std::chrono::duration_cast<Duration>(
      gateLimit.latency() * std::clamp(decay, 0.0, 1.0));
  for (const Call &call : calls | std::views::values)
    expected = std::max(expected, latencyOf(call));
  return expected;
}

Refusal Gate::reasonToRefuse(const GateRequest &request, TimePoint now) const {
  if (closedReason != Refusal::None)
    return closedReason;
  if (currentTarget.state == TargetState::Leaving)
    return Refusal::TargetLeaving;
  if (currentTarget.state == TargetState::Absent)
    return Refusal::NoTarget;
  if (request.service != currentTarget.service)
    return Refusal::WrongService;
  if (!canMeetDeadline(request, 0, now) || !canFinish(request, now))
    return Refusal::DeadlineTooClose;
  return Refusal::None;
}

bool Gate::canMeetDeadline(const GateRequest &request, std::size_t position,
                           TimePoint now) const {
  return now + expectedWait(position, now) < request.deadline;
}

Duration Gate::expectedWait(std::size_t position, TimePoint now) const {
  const auto admissions = static_cast<Duration::rep>(position);
  const auto concurrency =
      static_cast<Duration::rep>(std::max(1U, limitAt(now)));
  const Duration slotWait = gateLimit.latency() * admissions / concurrency;
  if (!isRateLimited(now) || coldRate <= 0)
    return slotWait;
  const std::chrono::duration<double> rateWait(static_cast<double>(position) /
                                               coldRate);
  return std::max(slotWait, std::chrono::duration_cast<Duration>(rateWait));
}

bool Gate::hasQueueRoom(std::size_t position, TimePoint now) const {
  if (queue.size() < limit() * QueuePerSlot)
    return true;
  const bool isLatencyKnown = gateLimit.latency() != Duration{};
  return isLatencyKnown && now - queueEmptyAt <= burstWait &&
         expectedWait(position, now) <= burstWait;
}

bool Gate::canFinish(const GateRequest &request, TimePoint now) const {
  return !request.dueAt || now + workOf(request).least < request.deadline;
}

CallWork Gate::workOf(const GateRequest &request) const {
  const auto work = ledger.workOf(request.kind);
  if (!work)
    return {gateLimit.latency(), Duration{}};
  const auto atPresent = [this](Duration it) {
    return std::chrono::duration_cast<Duration>(it *
                                                std::max(slowdownFactor, 1.0));
  };
  return {atPresent(work->mean), atPresent(work->least)};
}

bool Gate::isPlanned() const {
  return std::ranges::any_of(
      queue, [](const GateRequest &it) { return it.dueAt.has_value(); });
}

RoomPlan Gate::plan(TimePoint now) const {
  std::vector<WaitingCall> waiting;
  waiting.reserve(queue.size());
  for (const GateRequest &it : queue) {
    const CallWork work = workOf(it);
    waiting.push_back({it.group, it.priority, it.isNested,
                       it.dueAt.value_or(it.deadline), it.deadline, work.mean,
                       work.least, ledger.usedBy(it.group, now)});
  }
  Room room{now, std::max(1U, limitAt(now)), {}, {}, limit() * QueuePerSlot};
  if (inFlight() >= room.slots)
    room.firstStart = gateLimit.latency() / room.slots;
  if (isRateLimited(now) && coldRate > 0)
    room.leastSpacing = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / coldRate));
  return planRoom(waiting, room);
}

Admission Gate::admitByPlan(const GateRequest &request, TimePoint now) {
  const std::size_t own = queue.size();
  queue.push_back(request);
  const RoomPlan result = plan(now);
  const auto refuse = [this](Refusal refusal) {
    queue.pop_back();
    return Admission{Admission::Kind::Refused, refusal, std::nullopt};
  };
  const auto place = std::ranges::find(result.order, own);
  if (place == result.order.end()) {
    const bool isTooLate =
        std::ranges::find(result.tooLate, own) != result.tooLate.end();
    if (isTooLate)
      return refuse(Refusal::DeadlineTooClose);
    return refuse(isRateLimited(now) ? Refusal::ColdRate : Refusal::Full);
  }
  const auto position =
      static_cast<std::size_t>(place - result.order.begin()) + 1;
  if (isRateLimited(now) && expectedWait(position, now) > request.maxColdWait)
    return refuse(Refusal::ColdRate);
  Admission admission{Admission::Kind::Queued, Refusal::None, std::nullopt};
  if (!result.noRoom.empty())
    admission.displaced = queue[result.noRoom.back()].id;
  arrange(result);
  if (admission.displaced)
    cancelQueued(*admission.displaced);
  return admission;
}

void Gate::arrange(const RoomPlan &plan) {
  std::deque<GateRequest> arranged;
  for (const auto *const places : {&plan.order, &plan.noRoom, &plan.tooLate})
    for (const std::size_t it : *places)
      arranged.push_back(std::move(queue[it]));
  queue = std::move(arranged);
}

void Gate::applyPlan(TimePoint now, std::vector<QueueResult> &results) {
  if (!isPlanned())
    return;
  const RoomPlan result = plan(now);
  arrange(result);
  for (std::size_t n = 0; n < result.tooLate.size(); ++n) {
    results.push_back({queue.back().id, Refusal::DeadlineTooClose});
    queue.pop_back();
  }
}

void Gate::start(const GateRequest &request, TimePoint now) {
  calls.emplace(request.id, Call{now, request.fingerprint, currentTarget.bootId,
                                 request.kind, std::nullopt, false});
  if (request.dueAt)
    ledger.onStarted(request.group, workOf(request).mean, now);
  peak = std::max(peak, inFlight());
  dropOldStarts(now);
  recentStarts.push_back(now);
}

std::vector<QueueResult> Gate::drainQueue(TimePoint now) {
  std::vector<QueueResult> results = expire(now);
  applyPlan(now, results);
  while (!queue.empty() && tryTakeCapacity(now)) {
    const GateRequest request = std::move(queue.front());
    queue.pop_front();
    start(request, now);
    results.push_back({request.id, Refusal::None});
  }
  return results;
}

void Gate::recordOutcome(const Call &call, GateOutcome outcome, TimePoint now) {
  if (call.bootId != currentTarget.bootId)
    return;
  switch (outcome) {
  case GateOutcome::Completed:
    lastCompletedAt = now;
    gateLimit.onCompleted(call.latency.value_or(now - call.startedAt),
                          inFlight());
    break;
  case GateOutcome::TimedOut:
    gateLimit.onTimedOut(now - call.startedAt);
    break;
  case GateOutcome::Shed:
    gateLimit.onShed();
    break;
  case GateOutcome::Failed:
  case GateOutcome::NotConnected:
    gateLimit.onFailed();
    break;
  case GateOutcome::Cancelled:
    break;
  }
  if (currentTarget.isServing())
    currentTarget.state = isCold() ? TargetState::Cold : TargetState::Warm;
}

} // namespace plantainhatch
