#include "node/IngressCall.h"

#include "base/Digest.h"
#include "node/PrefixedSource.h"
#include "node/RemoteDispatch.h"
#include "process/metricLabel.h"
#include "request/HeaderNames.h"
#include "request/HttpStatus.h"

#include <algorithm>
#include <cassert>
#include <sstream>

namespace plantainhatch {

namespace {

using CallPtr = boost::intrusive_ptr<IngressCall>;

/** Lower bound of the hedging delay, which is the rule's p95 latency. */
constexpr std::chrono::milliseconds MinHedgeDelay{2};
/** A call may spend this fraction of its target latency in the queue of a cold
 * target, which needs longer than usual for the work itself. */
constexpr int ColdWaitDivisor = 4;
/** Shorter waits would leave a cold target idle between two calls. */
constexpr std::chrono::milliseconds MinColdWait{100};

std::chrono::milliseconds maxColdWaitOf(const ServiceRule &rule) {
  return rule.targetLatency
             ? std::max(MinColdWait, *rule.targetLatency / ColdWaitDivisor)
             : std::chrono::milliseconds::max();
}

} // namespace

void IngressCall::start(IngressTask &task, const IncomingCallPtr &incoming,
                        std::function<void()> onDone) {
  const CallPtr call(new IngressCall(task, incoming, std::move(onDone)));
  call->begin();
}

IngressCall::IngressCall(IngressTask &task, IncomingCallPtr incomingCall,
                         std::function<void()> onDone)
    : task(task), incoming(std::move(incomingCall)), onDone(std::move(onDone)),
      configuration(task.configuration.current()),
      arrivedAt(incoming->readAt()), begunAt(NodeServices::now()) {}

void IngressCall::begin() {
  request = makeRequest();
  task.gate.onIngressCall(request->id);
  if (task.configuration.isOutdated()) {
    lookUpRule();
    return;
  }
  findRule();
  proceed();
}

void IngressCall::proceed() {
  if (isAllowed() && isKeyProved())
    admit();
  else
    checkNewest();
}

std::string IngressCall::host() const { return IngressTask::hostOf(*request); }

void IngressCall::findRule() {
  version = configuration->head().version;
  rule = configuration->findService(host(), request->path());
  teamOfCall = {};
  if (rule != nullptr && rule->needsTeamKey)
    teamOfCall = findTeamOfCall(*configuration, *rule, digestOfKey());
}

const std::optional<std::string> &IngressCall::digestOfKey() {
  if (!std::exchange(isKeyRead, true))
    keyDigest = readKeyDigest(incoming->request().headers);
  return keyDigest;
}

bool IngressCall::isKeyProved() {
  return teamOfCall.status != KeyStatus::Held ||
         task.configuration.isProvedForKeys();
}

void IngressCall::lookUpRule() {
  const CallPtr self(this);
  incoming->onGone([self] {
    self->isCallerDisconnected = true;
    self->end();
  });
  task.configuration.lookUpRule(
      host(), std::string(request->path()), digestOfKey().value_or(""),
      [self](std::optional<RuleLookup::Result> result) {
        self->onRuleLookedUp(std::move(result));
      });
}

void IngressCall::onRuleLookedUp(std::optional<RuleLookup::Result> result) {
  if (isEnded)
    return;
  configuration = task.configuration.current();
  if (!task.configuration.isOutdated()) {
    findRule();
    proceed();
    return;
  }
  if (!result) {
    rejectForNow("configuration-outdated");
    return;
  }
  foreignRule = new SharedServiceRule(std::move(result->rule));
  rule = &foreignRule->rule;
  version = result->version;
  foreignTeam = std::move(result->team);
  if (rule->needsTeamKey)
    teamOfCall = {foreignTeam ? KeyStatus::Held : KeyStatus::Unknown,
                  foreignTeam ? &*foreignTeam : nullptr};
  const bool isProved = teamOfCall.status != KeyStatus::Held ||
                        task.configuration.isProofForKeys(result->provedAt);
  if (isAllowed() && isProved)
    admit();
  else
    rejectForNow("configuration-not-confirmed");
}

void IngressCall::updateVersion() {
  const ConfigurationPtr current = task.configuration.current();
  if (current->head().version <= version)
    return;
  const ServiceRule *const now = current->findService(host(), request->path());
  if (now == nullptr)
    return;
  const TeamOfCall team = findTeamOfCall(
      *current, *now, now->needsTeamKey ? digestOfKey() : std::nullopt);
  const bool isSameTeam =
      team.status == teamOfCall.status &&
      (team.team == nullptr || team.team->name == teamOfCall.team->name);
  const bool isSame =
      isSameTeam && now->name == rule->name &&
      (now->trafficSplit.empty() ||
       std::ranges::find(now->trafficSplit, service,
                         &WeightedService::service) != now->trafficSplit.end());
  if (isSame)
    version = current->head().version;
}

void IngressCall::checkNewest() {
  if (task.services.settings.site && configuration->head().version == 0) {
    rejectForNow("no-configuration");
    return;
  }
  const CallPtr self(this);
  incoming->onGone([self] {
    self->isCallerDisconnected = true;
    self->end();
  });
  task.configuration.whenNewest(
      [self](bool isNewest) { self->onFreshnessChecked(isNewest); });
}

void IngressCall::onFreshnessChecked(bool isNewest) {
  if (isEnded)
    return;
  configuration = task.configuration.current();
  findRule();
  if (isAllowed() && isKeyProved())
    admit();
  else if (isAllowed())
    rejectForNow("key-not-confirmed");
  else if (!isNewest)
    rejectForNow("configuration-not-confirmed");
  else if (rule == nullptr)
    reject(httpStatus::NotFound, "no-rule");
  else
    reject(httpStatus::Unauthorized, "unknown-key");
}

void IngressCall::admit() {
  if (request->id.empty()) {
    reject(httpStatus::BadRequest,
           "missing-" + task.services.callProtocol.requestIdHeader);
    return;
  }
  setTeamHeader();
  const auto timeout = timeoutOf(incoming->request(), *rule,
                                 task.services.callProtocol.timeoutMsHeader);
  if (!timeout) {
    reject(httpStatus::BadRequest, "timeout-not-a-positive-number");
    return;
  }
  deadline = arrivedAt + *timeout;
  // A version that came into force since may say otherwise than the one by
  // which the call was begun. It would run again if an answer before its own
  // closes the connection.
  if (!isIdempotent(*request, *rule) && incoming->isBehindOthers()) {
    rejectForNow("sent-behind-others");
    return;
  }
  if (NodeServices::now() >= deadline) {
    reject(httpStatus::GatewayTimeout, "deadline");
    return;
  }
  // Uses up a turn of the traffic split.
  service = task.chooseService(*rule);
  task.chargeNested(rule->name, service);
  fingerprint = fingerprintOf(*request, service);
  decision =
      std::make_unique<CallDecision>(isIdempotent(*request, *rule), deadline,
                                     task.budgetOf(service), rule->attempts);
  if (task.crashes.isQuarantined(fingerprint)) {
    rejectForNow(std::string(toString(Refusal::Quarantined)));
    return;
  }
  const CallPtr self(this);
  deadlineTimer.startOnce(std::max(deadline - NodeServices::now(), Duration()),
                          [self] { self->onDeadline(); });
  incoming->onGone([self] { self->onCallerDisconnected(); });
  if (teamOfCall.team != nullptr)
    takeQuota();
  else
    run();
}

void IngressCall::takeQuota() {
  const CallPtr self(this);
  task.quotas.take(*teamOfCall.team, [self](const QuotaDecision &quota) {
    self->onQuotaDecision(quota);
  });
}

void IngressCall::onQuotaDecision(const QuotaDecision &quota) {
  quotaToken = quota.token;
  if (isEnded) {
    giveQuotaBack();
    return;
  }
  switch (quota.kind) {
  case QuotaDecision::Kind::Granted:
    run();
    break;
  case QuotaDecision::Kind::Over:
    sendLocalAnswer({httpStatus::TooManyRequests, Outcome::NotRun, "over-quota",
                     quota.wait});
    break;
  case QuotaDecision::Kind::Unknown:
    sendLocalAnswer({httpStatus::ServiceUnavailable, Outcome::NotRun,
                     "quota-unknown", quota.wait});
  }
}

void IngressCall::giveQuotaBack() {
  if (const auto token = std::exchange(quotaToken, std::nullopt))
    task.quotas.giveBack(teamOfCall.team->name, *token);
}

void IngressCall::run() {
  if (!rule->needsClaim() || isSafeMethod(request->method)) {
    perform(decision->start());
    return;
  }
  const auto key = findHeader(request->headers, rule->idempotencyKeyHeader);
  if (!key || key->empty()) {
    reject(httpStatus::BadRequest, "missing-" + rule->idempotencyKeyHeader);
    return;
  }
  beginClaim(*key);
}

void IngressCall::setTeamHeader() {
  // A newer version may have teams where the one in force has none.
  const bool hasTeams =
      configuration->hasTeams() || rule->needsTeamKey || foreignRule;
  if (hasTeams)
    removeHeader(request->headers, headers::Authorization);
  if (teamOfCall.team != nullptr)
    request->headers.emplace_back(task.services.callProtocol.teamHeader,
                                  teamOfCall.team->name);
}

std::shared_ptr<CallRequest> IngressCall::makeRequest() const {
  auto cleaned = std::make_shared<CallRequest>(incoming->request());
  const CallProtocol &callProtocol = task.services.callProtocol;
  cleaned->id =
      findHeader(cleaned->headers, callProtocol.requestIdHeader).value_or("");
  if (cleaned->id.empty() && !callProtocol.requiresRequestId)
    cleaned->id = task.services.makeId();
  removeHopByHopHeaders(cleaned->headers);
  for (const std::string &name :
       {callProtocol.requestIdHeader, callProtocol.timeoutMsHeader,
        callProtocol.callerServiceHeader, callProtocol.expectedTargetHeader,
        callProtocol.teamHeader, std::string(headers::Outcome),
        std::string("Expect")})
    if (!name.empty())
      removeHeader(cleaned->headers, name);
  if (!callProtocol.callerServiceHeader.empty())
    cleaned->headers.emplace_back(callProtocol.callerServiceHeader,
                                  task.services.settings.requireSite().service);
  return cleaned;
}

std::string IngressCall::claimScope() const {
  // One team must not get the answer to a call of another.
  return teamOfCall.team == nullptr ? rule->name
                                    : rule->name + "/" + teamOfCall.team->name;
}

void IngressCall::beginClaim(const std::string &key) {
  const CallPtr self(this);
  const WallTime wallDeadline =
      NodeServices::wallNow() +
      std::chrono::duration_cast<std::chrono::milliseconds>(
          deadline - NodeServices::now());
  claim = Claim::start(
      task.services, claimKey(claimScope(), key), *request, wallDeadline,
      [self](Claim::Result result) { self->onClaimResult(std::move(result)); });
}

void IngressCall::onClaimResult(Claim::Result result) {
  if (std::holds_alternative<ProceedAction>(result)) {
    isClaimHeld = true;
    if (isEnded)
      resolveClaim(Outcome::NotRun);
    else
      perform(decision->start());
    return;
  }
  if (isEnded)
    return;
  if (const auto *const stored = std::get_if<ReplayAction>(&result))
    replay(stored->answer);
  else
    sendLocalAnswer(std::get<AnswerAction>(result));
}

void IngressCall::onCallerDisconnected() {
  isCallerDisconnected = true;
  task.services.metrics.add("calls_abandoned_total");
  // A claimed call that has been dispatched runs to completion, so that a
  // caller who sends it again gets the stored answer, not an unknown outcome.
  if (isClaimHeld && !attempts.empty())
    return;
  const bool mayHaveRun = decision->mayHaveRun();
  if (!mayHaveRun)
    giveQuotaBack();
  cancelAttempts();
  resolveClaim(mayHaveRun ? Outcome::Unknown : Outcome::NotRun);
  end();
}

void IngressCall::onDeadline() {
  if (isEnded)
    return;
  if (claim && !isClaimHeld) {
    // The call was not dispatched, but the claim row may have been inserted,
    // and the outcome of an earlier call with the same key is not known either.
    sendLocalAnswer({httpStatus::GatewayTimeout, Outcome::Unknown, "deadline",
                     std::nullopt});
    return;
  }
  perform(decision->onDeadline());
}

void IngressCall::perform(CallAction action) {
  if (isEnded)
    return;
  if (const auto *const next = std::get_if<ForwardAction>(&action))
    forward(next->mayQueue);
  else if (const auto *const answer = std::get_if<AnswerAction>(&action))
    sendLocalAnswer(*answer);
}

void IngressCall::forward(bool mayQueue) {
  const bool isFirst = decision->tried().empty();
  if (!isFirst && !isClaimHeld && incoming->hasCallerLeft()) {
    onCallerDisconnected();
    return;
  }
  updateVersion();
  const auto picked =
      task.pick(*task.configuration.current(), service, decision->tried());
  if (!picked) {
    perform(decision->onNoCandidate());
    return;
  }
  const Candidate &candidate = picked->candidate;
  isRepeat = decision->hasReachedTarget();
  decision->onForwarded(candidate.peersAddress);
  mayHedge = mayHedge && !candidate.callsOtherServices;
  if (picked->areAllSaturated)
    decision->markAllSaturated();
  task.measure.loadTable().onSent(candidate.peersAddress, NodeServices::now());
  task.services.metrics.add("attempts_total");
  const Rollout *const rollout = task.rollouts.find(service);
  attempts[candidate.peersAddress] = {
      nullptr,
      candidate.load,
      NodeServices::now(),
      rollout == nullptr ? 0 : rollout->rule().order,
      candidate.isOrdered,
      false};
  const auto hasResult = std::make_shared<bool>(false);
  // A target at its limit was picked in spite of the expected wait, so the call
  // may queue there.
  const bool isFull = candidate.utilization() >= 1.0;
  const AnswerSourcePtr source =
      dispatch(candidate, mayQueue || isFull, hasResult);
  // The local gate may have refused synchronously, and a new attempt at the
  // same target may already be in flight.
  if (!*hasResult)
    attempts[candidate.peersAddress].source = source;
  if (!isEnded)
    startHedgeTimer();
}

unsigned IngressCall::priority() const {
  const TeamRule *const team = teamOfCall.team;
  return team != nullptr && team->priority ? *team->priority : rule->priority;
}

std::optional<TimePoint> IngressCall::dueAt() const {
  return rule->targetLatency ? std::optional(arrivedAt + *rule->targetLatency)
                             : std::nullopt;
}

AnswerSourcePtr IngressCall::dispatch(const Candidate &candidate, bool mayQueue,
                                      const std::shared_ptr<bool> &hasResult) {
  const bool isIsolated =
      task.services.callProtocol.isolatesNonIdempotentCalls &&
      !isIdempotent(*request, *rule);
  DispatchRequest dispatchRequest{request,
                                  service,
                                  fingerprint,
                                  deadline,
                                  mayQueue,
                                  isRepeat,
                                  isClaimHeld || isIsolated,
                                  priority(),
                                  maxColdWaitOf(*rule),
                                  version,
                                  std::to_string(stableHash(rule->name)),
                                  dueAt(),
                                  task.isNested(rule->name)};
  const CallPtr self(this);
  auto receiver = [self, hasResult,
                   target = candidate.peersAddress](DispatchResult result) {
    *hasResult = true;
    self->onResult(target, std::move(result));
  };
  if (candidate.isLocalNode)
    return task.gate.dispatch(std::move(dispatchRequest), std::move(receiver));
  return RemoteDispatch::start(task.services, task.measure, candidate,
                               dispatchRequest, std::move(receiver));
}

void IngressCall::onResult(const Address &target, DispatchResult result) {
  if (isEnded)
    return;
  if (auto *const answer = std::get_if<DispatchAnswer>(&result)) {
    onAnswer(target, std::move(*answer));
    return;
  }
  const TimePoint now = NodeServices::now();
  if (const auto *const refused = std::get_if<DispatchRefusal>(&result)) {
    const bool isUnreachable = refused->refusal == Refusal::NotConnected;
    const Attempt attempt = endAttempt(target, isUnreachable);
    logFailedAttempt(target, attempt.loadAtPick, toString(refused->refusal));
    if (refused->refusal == Refusal::Outdated &&
        target != task.services.settings.peers)
      task.configuration.onOutdatedAt(target);
    perform(decision->onRefused(target, refused->refusal, now));
    return;
  }
  const auto &failed = std::get<DispatchFailure>(result);
  Attempt attempt = endAttempt(target, true);
  recordForRollout(attempt, AttemptEnd::Failed);
  logFailedAttempt(target, attempt.loadAtPick, failed.reason);
  task.services.events.count(EventKind::CallsFailed, service,
                             "at " + target.toString() + ": " + failed.reason);
  perform(decision->onFailed(target, failed.didTargetCrash, now));
}

void IngressCall::startHedgeTimer() {
  if (hedgeTimer.isRunning() || !mayHedge || !isIdempotent(*request, *rule))
    return;
  const auto p95 = task.stateOf(rule->name).latencies.p95();
  if (!p95)
    return;
  const CallPtr self(this);
  hedgeTimer.startOnce(std::max<Duration>(*p95, MinHedgeDelay), [self] {
    self->perform(self->decision->onHedgeDelay(NodeServices::now()));
  });
}

bool IngressCall::shouldBufferAnswers() const {
  return isClaimHeld || task.services.settings.site.has_value();
}

bool IngressCall::retryOnServerError(const Address &target,
                                     const DispatchAnswer &answer) {
  const bool isFailure = task.services.settings.site &&
                         answer.head.status >= httpStatus::InternalServerError;
  if (!isFailure || !isIdempotent(*request, *rule))
    return false;
  const TimePoint now = NodeServices::now();
  CallAction action = decision->onFailed(target, false, now);
  if (std::holds_alternative<AnswerAction>(action))
    return false;
  const Attempt attempt = endAttempt(target, true);
  logFailedAttempt(target, attempt.loadAtPick,
                   "failure-" + std::to_string(answer.head.status));
  answer.source->cancel();
  perform(std::move(action));
  return true;
}

void IngressCall::recordForRollout(Attempt &attempt, AttemptEnd end) {
  Rollout *const rollout = task.rollouts.find(service);
  if (rollout == nullptr || rollout->rule().order != attempt.rolloutOrder ||
      std::exchange(attempt.isCounted, true))
    return;
  // Cold targets are slow, whatever their version.
  const bool mayBeLate = attempt.isOrdered && attempt.loadAtPick.isCold;
  const bool isLate =
      rule->targetLatency &&
      NodeServices::now() - attempt.startedAt > *rule->targetLatency;
  if (const auto isBad = judgeAttempt(end, isLate, mayBeLate))
    rollout->onAnswer(rule->name, attempt.isOrdered, *isBad);
}

void IngressCall::onAnswer(const Address &target, DispatchAnswer answer) {
  // Of a buffered answer, the whole body counts.
  if (answer.head.status >= httpStatus::InternalServerError)
    recordForRollout(attempts.at(target), AttemptEnd::Failed);
  else if (!shouldBufferAnswers())
    recordForRollout(attempts.at(target), AttemptEnd::Answered);
  if (retryOnServerError(target, answer))
    return;
  decision->onAnswer(target);
  task.stateOf(rule->name).latencies.record(NodeServices::now() - begunAt);
  // The attempt stays in the map until the body has been read. Until then the
  // load estimate of the target includes this call, and cancelAttempts() takes
  // it out again if the call ends early.
  auto answering = attempts.extract(target);
  cancelAttempts();
  answering.mapped().source = answer.source;
  attempts.insert(std::move(answering));
  deadlineTimer.stop();
  hedgeTimer.stop();
  const std::string &idHeader = task.services.callProtocol.requestIdHeader;
  removeHeader(answer.head.headers, idHeader);
  answer.head.headers.emplace_back(idHeader, request->id);
  if (shouldBufferAnswers())
    bufferAnswer(target, answer.head, answer.source);
  else
    relay(target, answer.head, answer.source);
}

void IngressCall::bufferAnswer(const Address &target, const AnswerHead &head,
                               const AnswerSourcePtr &source) {
  const CallPtr self(this);
  // The answer to a claimed call is stored even if it comes after the deadline,
  // so the rule's timeout limits only the pause before each chunk.
  const Duration remaining =
      isClaimHeld ? Duration(rule->timeout) : deadline - NodeServices::now();
  deadlineTimer.startOnce(std::max(remaining, Duration(1)),
                          [self, target] { self->onAnswerStalled(target); });
  source->read([self, target, head, source](Chunk chunk) {
    self->onBufferedChunk(target, head, source, std::move(chunk));
  });
}

void IngressCall::onAnswerStalled(const Address &target) {
  Attempt attempt = endAttempt(target, true);
  recordForRollout(attempt, AttemptEnd::Failed);
  attempt.source->cancel();
  sendLocalAnswer({httpStatus::GatewayTimeout, Outcome::Unknown,
                   "answer-stalled", std::nullopt});
}

IngressCall::Attempt IngressCall::endAttempt(const Address &target,
                                             bool failed) {
  auto attempt = attempts.extract(target);
  assert(!attempt.empty() && "an attempt ends once");
  task.measure.loadTable().onEnded(target, failed, NodeServices::now());
  return std::move(attempt.mapped());
}

void IngressCall::onBufferedChunk(const Address &target, const AnswerHead &head,
                                  const AnswerSourcePtr &source, Chunk chunk) {
  deadlineTimer.stop();
  if (const auto *const bytes = std::get_if<GBytesPtr>(&chunk)) {
    bufferedBody += toString(bytes->get());
    bufferedCharge.set(bufferedBody);
    const bool mayBuffer =
        isClaimHeld || !BufferBudget::instance().isExhausted();
    if (mayBuffer && bufferedBody.size() <= Claim::MaxAnswerBytes) {
      bufferAnswer(target, head, source);
      return;
    }
    // Too large to buffer: the chunks read so far and the rest are streamed.
    recordForRollout(attempts.at(target), AttemptEnd::Answered);
    bufferedCharge.set(0);
    if (std::exchange(isClaimHeld, false))
      claim->finish(ClaimState::Done,
                    {head.status, head.headers, bufferedBody, false});
    if (isCallerDisconnected) {
      endAttempt(target, false);
      drain(source);
      end();
      return;
    }
    relay(target, head,
          new PrefixedSource(std::exchange(bufferedBody, {}), source));
    return;
  }
  const bool isBroken =
      std::holds_alternative<BodyBroken>(chunk) ||
      (head.contentLength && *head.contentLength != bufferedBody.size() &&
       request->method != "HEAD");
  Attempt attempt = endAttempt(target, isBroken);
  recordForRollout(attempt,
                   isBroken ? AttemptEnd::Failed : AttemptEnd::Answered);
  if (isBroken) {
    onBufferedAnswerBroken(target, attempt.loadAtPick);
    return;
  }
  if (std::exchange(isClaimHeld, false))
    claim->finish(ClaimState::Done,
                  {head.status, head.headers, bufferedBody, true});
  logCallEnd(head.status < httpStatus::InternalServerError
                 ? DecisionKind::Served
                 : DecisionKind::Failed,
             head.status, "answer of " + target.toString());
  if (!isCallerDisconnected)
    incoming->reply(head.status, head.headers, bufferedBody);
  end();
}

void IngressCall::onBufferedAnswerBroken(const Address &target,
                                         const LoadEstimate &loadAtPick) {
  logFailedAttempt(target, loadAtPick, "answer-broken");
  if (isClaimHeld) {
    sendLocalAnswer({httpStatus::BadGateway, Outcome::Unknown, "answer-broken",
                     std::nullopt});
    return;
  }
  bufferedBody = {};
  bufferedCharge.set(0);
  const TimePoint now = NodeServices::now();
  const CallPtr self(this);
  deadlineTimer.startOnce(std::max(deadline - now, Duration(1)),
                          [self] { self->onDeadline(); });
  perform(decision->onFailed(target, false, now));
}

void IngressCall::relay(const Address &target, const AnswerHead &head,
                        const AnswerSourcePtr &source) {
  const CallPtr self(this);
  AnswerRelay::start(
      incoming, head, source, rule->timeout,
      [self, target](RelayResult result) {
        self->endAttempt(target, result == RelayResult::Broken);
        if (result == RelayResult::Broken)
          self->task.services.metrics.add("answers_broken_total");
        self->end();
      },
      nullptr);
}

void IngressCall::sendLocalAnswer(const AnswerAction &answer) {
  const bool isRefused = answer.outcome == Outcome::NotRun;
  logCallEnd(isRefused ? DecisionKind::Refused : DecisionKind::Failed,
             answer.status, answer.reason);
  if (isEnded)
    return;
  cancelAttempts();
  if (isRefused)
    giveQuotaBack();
  resolveClaim(answer.outcome);
  task.services.metrics.add(
      "answers_made_total",
      metricLabel("status", std::to_string(answer.status)) + "," +
          metricLabel("reason", answer.reason));
  task.services.events.count(
      answer.outcome == Outcome::NotRun ? EventKind::CallsRefused
                                        : EventKind::CallsFailed,
      rule == nullptr ? "no service" : rule->name, answer.reason);
  HeaderList list{{headers::Outcome, std::string(toString(answer.outcome))},
                  {task.services.callProtocol.requestIdHeader, request->id},
                  {"Content-Type", "text/plain"}};
  if (answer.status == httpStatus::Unauthorized)
    list.emplace_back(headers::Authenticate, "Bearer");
  if (answer.retryAfter)
    list.emplace_back(headers::RetryAfter,
                      formatRetryAfter(*answer.retryAfter));
  if (!isCallerDisconnected)
    incoming->reply(answer.status, list, answer.reason + "\n");
  end();
}

void IngressCall::logCallEnd(DecisionKind kind, unsigned status,
                             std::string_view reason) const {
  using Milliseconds = std::chrono::milliseconds;
  const TimePoint now = NodeServices::now();
  task.services.logDecision(
      kind,
      {{"request", request->id},
       {"rule", rule == nullptr ? std::string() : rule->name},
       {"service", service},
       {"team",
        teamOfCall.team == nullptr ? std::string() : teamOfCall.team->name},
       {"status", status},
       {"reason", reason},
       {"version", version},
       {"confirmedMsAgo", confirmationAge(now).count()},
       {"targets", decision ? decision->tried().size() : 0},
       {"ms", std::chrono::floor<Milliseconds>(now - arrivedAt).count()}});
}

std::chrono::milliseconds IngressCall::confirmationAge(TimePoint now) const {
  const auto confirmedAt = task.configuration.freshness().confirmedAt();
  return confirmedAt
             ? std::chrono::floor<std::chrono::milliseconds>(now - *confirmedAt)
             : std::chrono::milliseconds(-1);
}

void IngressCall::logFailedAttempt(const Address &target,
                                   const LoadEstimate &loadAtPick,
                                   std::string_view reason) const {
  using Milliseconds = std::chrono::milliseconds;
  const bool hasLoadReport = loadAtPick.age != Duration::max();
  task.services.logDecision(
      DecisionKind::Attempt,
      {{"request", request->id},
       {"target", target.toString()},
       {"reason", reason},
       {"slowdown", loadAtPick.slowdown},
       {"inFlight", loadAtPick.inFlight},
       {"limit", loadAtPick.limit},
       {"failureRate", loadAtPick.failureRate},
       {"heardMsAgo",
        hasLoadReport ? std::chrono::floor<Milliseconds>(loadAtPick.age).count()
                      : -1}});
}

std::string
IngressCall::formatRetryAfter(std::chrono::milliseconds delay) const {
  if (!task.services.callProtocol.hasFractionalRetryAfter)
    return std::to_string(
        std::chrono::ceil<std::chrono::seconds>(delay).count());
  std::ostringstream text;
  text << std::chrono::duration<double>(delay).count();
  return text.str();
}

void IngressCall::reject(unsigned status, const std::string &reason) {
  sendLocalAnswer({status, Outcome::NotRun, reason, std::nullopt});
}

void IngressCall::rejectForNow(const std::string &reason) {
  sendLocalAnswer({httpStatus::ServiceUnavailable, Outcome::NotRun, reason,
                   CallDecision::RetryAfter});
}

void IngressCall::replay(const StoredAnswer &answer) {
  giveQuotaBack();
  HeaderList list = answer.headers;
  removeHeader(list, task.services.callProtocol.requestIdHeader);
  list.emplace_back(task.services.callProtocol.requestIdHeader, request->id);
  incoming->reply(answer.status, list, answer.body);
  task.services.metrics.add("answers_replayed_total");
  end();
}

void IngressCall::resolveClaim(Outcome outcome) {
  if (!std::exchange(isClaimHeld, false))
    return;
  if (outcome == Outcome::NotRun)
    claim->release();
  else
    claim->finish(ClaimState::Unknown, {});
}

void IngressCall::cancelAttempts() {
  for (auto &[target, attempt] : std::exchange(attempts, {})) {
    task.measure.loadTable().onEnded(target, false, NodeServices::now());
    recordForRollout(attempt, AttemptEnd::Cancelled);
    if (attempt.source)
      attempt.source->cancel();
  }
}

void IngressCall::end() {
  if (std::exchange(isEnded, true))
    return;
  deadlineTimer.stop();
  hedgeTimer.stop();
  incoming->onGone(nullptr);
  task.services.metrics.latency("call_seconds")
      .record(NodeServices::now() - arrivedAt);
  task.services.metrics.add("calls_total");
  if (const auto action = std::exchange(onDone, nullptr))
    action();
}

} // namespace plantainhatch
