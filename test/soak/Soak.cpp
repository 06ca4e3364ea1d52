#include "soak/Soak.h"

#include "operator/MainLoop.h"

#include <nlohmann/json.hpp>

#include <csignal>

namespace plantainhatch::test {

namespace {

using Manner = SiteTarget::Manner;
using Mode = FaultyLink::Mode;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds ServiceTime{25};
constexpr milliseconds BeatInterval{500};
constexpr milliseconds BeatPatience{1'000};
constexpr milliseconds ProbeInterval{150};
constexpr milliseconds CollectInterval{5};
/** The same as the site's grace for a planned stop. */
constexpr seconds StopGrace{6};
constexpr seconds ColdTime{3};
/** Until then a process that was started may still be loading its program. */
constexpr milliseconds NodeLoadTime{250};
/** The site's bound for service after the machines are back. */
constexpr seconds RecoveryBound{15};
/** Every third call must not run twice. */
constexpr std::uint64_t UnsafeEvery = 3;
/** Heartbeats that arrive a second time, late. */
constexpr double LateBeatShare = 0.1;
constexpr milliseconds LongestLateness{6'000};
/** Until the operator writes again what a store that was set back has lost. */
constexpr milliseconds RepeatDelay{700};
/** Callers that close their connection within about two service times. */
constexpr double ImpatientShare = 0.05;
constexpr milliseconds LongestPatience{60};
constexpr const char *PopularPage = "/read/popular";

std::vector<std::string> domainsOf(const SoakOptions &options) {
  std::vector<std::string> names;
  names.reserve(options.machines);
  for (std::size_t n = 0; n < options.machines; ++n)
    names.push_back("zone-" + std::to_string(n % options.domains));
  return names;
}

TimePoint now() { return std::chrono::steady_clock::now(); }

} // namespace

Soak::Soak(const SoakOptions &options)
    : options(options), site(domainsOf(options), SiteLinks::Faulty),
      random(options.seed), lateBeatRandom(options.seed),
      states(options.machines) {}

SoakReport Soak::run() {
  if (!site.start())
    return {0, 0, 0, {"start: the fleet did not become ready"}};
  const auto plan = drawPlan(options.seed, options.machines, options.length);
  startLoad();
  for (const FaultStep &step : plan)
    schedule(step.at, [this, step] { strike(step); });
  pause(options.length);
  callTimer.stop();
  heal();
  auto broken = recover();
  Fleet::waitUntil([this] { return openCalls.empty(); }, RecoveryBound);
  // Their answers must not come after the end of this run.
  beatTimer.stop();
  Fleet::waitUntil([this] { return beatsUnderWay == 0; });
  for (std::string &it : ledger.findBroken())
    broken.push_back(std::move(it));
  return {ledger.callCount(), ledger.servedCount(), plan.size(),
          std::move(broken)};
}

void Soak::schedule(Duration delay, std::function<void()> action) {
  scheduled.push_back(std::make_unique<Timer>());
  const auto it = std::prev(scheduled.end());
  (*it)->startOnce(delay, [this, it, action = std::move(action)] {
    scheduled.erase(it);
    action();
  });
}

void Soak::startLoad() {
  for (std::size_t n = 0; n < site.machines.size(); ++n) {
    SiteMachine &machine = *site.machines[n];
    machine.target->setServiceTime(ServiceTime);
    machine.target->onRun([this, n, &machine](const std::string &id) {
      ledger.ran(id, machine.target->name(), machine.failureDomain, n, now());
    });
  }
  collectTimer.startRepeating(CollectInterval, [this] { collect(); });
  probeTimer.startRepeating(ProbeInterval, [this] { probeVersions(); });
  beatTimer.startRepeating(BeatInterval, [this] { beatAll(); });
  sendNext();
}

void Soak::sendNext() {
  std::uniform_int_distribution<std::size_t> machineOf(0, site.machines.size() -
                                                              1);
  const bool isUnsafe = sequence % UnsafeEvery == 0;
  // Half of what is read is one popular page, the rest differs.
  const std::string page =
      sequence % 2 == 0 ? PopularPage : "/read/" + std::to_string(sequence);
  sendCall(machineOf(random), isUnsafe ? "POST" : "GET",
           isUnsafe ? "/write/" + std::to_string(sequence) : page, 0);
  std::exponential_distribution<double> gap(options.rate);
  callTimer.startOnce(std::chrono::duration_cast<Duration>(
                          std::chrono::duration<double>(gap(random))),
                      [this] { sendNext(); });
}

void Soak::sendCall(std::size_t machine, const std::string &method,
                    const std::string &path, unsigned ownVersion) {
  std::uniform_int_distribution<int> deadlineOf(400, 2'500);
  std::bernoulli_distribution mayReuse(0.6);
  std::bernoulli_distribution losesPatience(ImpatientShare);
  std::uniform_int_distribution<int> patienceOf(0, LongestPatience.count());
  const std::string id = "c" + std::to_string(sequence++);
  CallRequest request;
  request.method = method;
  request.target = path;
  request.headers = {{"Host", "h.example"},
                     {"X-Plantainhatch-Request-Attempt-Id", id},
                     {"X-Plantainhatch-Deadline-Milliseconds",
                      std::to_string(deadlineOf(random))}};
  if (method == "POST")
    request.body = "body";
  const TimePoint sentAt = now();
  ledger.sent(id, method != "POST", machine, sentAt);
  std::optional<TimePoint> givenUpAt;
  if (losesPatience(random))
    givenUpAt = sentAt + milliseconds(patienceOf(random));
  openCalls.push_back({id, site.send(machine, request, mayReuse(random)),
                       sentAt, givenUpAt, ownVersion, nodeStart(machine)});
}

void Soak::probeVersions() {
  for (std::size_t n = 0; n < site.machines.size(); ++n)
    for (unsigned own = version > 1 ? version - 1 : version; own <= version;
         ++own)
      sendCall(n, "GET", "/v" + std::to_string(own) + "/x", own);
}

void Soak::collect() {
  std::erase_if(openCalls, [this](const OpenCall &it) {
    constexpr unsigned Broken = 1;
    const unsigned status = it.pending.answer->status;
    if (status == 0 && it.givenUpAt && now() >= *it.givenUpAt) {
      it.pending.giveUp();
      ledger.gaveUp(it.id, now());
      return true;
    }
    if (status == 0)
      return false;
    if (status == Broken) {
      ledger.cut(it.id, now());
      return true;
    }
    ledger.answered(it.id, status, it.pending.answer->body, now());
    if (it.version != 0 && status == 200)
      ledger.servedVersion(it.nodeStart, it.version, it.sentAt, now());
    return true;
  });
}

void Soak::beatAll() {
  for (std::size_t n = 0; n < site.machines.size(); ++n)
    beat(n);
}

void Soak::beat(std::size_t machine) {
  SiteMachine &at = *site.machines[machine];
  if (!at.target->isUp())
    return;
  const bool isLeaving = states[machine].isLeaving;
  const std::string name = at.target->name();
  const json body =
      at.target->heartbeat(isLeaving ? "draining" : "ready", at.shownTarget);
  std::bernoulli_distribution isLate(LateBeatShare);
  if (!isLeaving && isLate(lateBeatRandom))
    beatLate(machine, name, body.dump());
  ++beatsUnderWay;
  site.http.sendAsync(at.targets, "PUT", "/instances/" + name, {}, body.dump(),
                      BeatPatience,
                      [this, machine, isLeaving, name](const HttpAnswer &it) {
                        --beatsUnderWay;
                        if (!isLeaving || it.status != 200)
                          return;
                        ledger.leaveAcknowledged(name, now());
                        if (site.machines[machine]->target->name() == name)
                          states[machine].hasLeft = true;
                      });
}

void Soak::beatLate(std::size_t machine, const std::string &name,
                    const std::string &body) {
  std::uniform_int_distribution<milliseconds::rep> latenessOf(
      BeatInterval.count(), LongestLateness.count());
  schedule(milliseconds(latenessOf(lateBeatRandom)),
           [this, machine, name, body] {
             ++beatsUnderWay;
             site.http.sendAsync(
                 site.machines[machine]->targets, "PUT", "/instances/" + name,
                 {}, body, BeatPatience,
                 [this](const HttpAnswer & /*answer*/) { --beatsUnderWay; });
           });
}

void Soak::strike(const FaultStep &step) {
  const TimePoint at = now();
  switch (step.kind) {
  case FaultKind::KillNode:
  case FaultKind::FreezeNode:
    ledger.disturbed(step.machine, Disturbance::Node, at, at + step.length);
    strikeNode(step);
    break;
  case FaultKind::StoreDown:
  case FaultKind::StoreSlow:
  case FaultKind::StoreLosesAnswers:
    ledger.storeDisturbed(at, at + step.length);
    strikeStore(step);
    break;
  case FaultKind::StoreLinkHeld:
  case FaultKind::StoreLinkOneWay:
  case FaultKind::StoreLinkReset:
  case FaultKind::StoreLinkSilent:
    ledger.disturbed(step.machine, Disturbance::Node, at, at + step.length);
    strikeStoreLink(step);
    break;
  case FaultKind::TargetLinkReset:
  case FaultKind::TargetLinkSilent:
  case FaultKind::TargetLinkDelay:
  case FaultKind::TargetLinkOneWay:
    ledger.disturbed(step.machine, Disturbance::Target, at, at + step.length);
    strikeTargetLink(step);
    break;
  case FaultKind::StopNode:
  case FaultKind::ReloadNode:
  case FaultKind::TargetIsReplaced:
  case FaultKind::DomainOut:
  case FaultKind::StoreSetBack:
  case FaultKind::ChangeConfiguration:
    strikePlanned(step);
    break;
  default:
    ledger.disturbed(step.machine, Disturbance::Target, at, at + step.length);
    strikeTarget(step);
  }
}

void Soak::strikeNode(const FaultStep &step) {
  const std::size_t n = step.machine;
  ChildProcess &node = *site.machines[n]->node;
  if (step.kind == FaultKind::KillNode) {
    // Waits for its end, without which it would not be started again.
    node.kill();
    schedule(step.length, [this, n] { startNodeIfEnded(n); });
    return;
  }
  node.signal(SIGSTOP);
  schedule(step.length, [this, n] { site.machines[n]->node->signal(SIGCONT); });
}

void Soak::strikeStore(const FaultStep &step) {
  const char *const mode = step.kind == FaultKind::StoreDown   ? "down"
                           : step.kind == FaultKind::StoreSlow ? "slow"
                                                               : "lose";
  constexpr int DelayMs = 700;
  site.setStore({{"mode", mode}, {"delayMs", DelayMs}});
  schedule(step.length, [this] { site.setStore({{"mode", "up"}}); });
}

void Soak::holdLink(FaultyLink &link, Mode mode, Duration length) {
  link.setMode(mode);
  schedule(length, [&link] { link.setMode(Mode::Pass); });
}

void Soak::strikeStoreLink(const FaultStep &step) {
  FaultyLink &link = *site.machines[step.machine]->storeLink;
  if (step.kind == FaultKind::StoreLinkReset)
    link.resetOpen();
  else if (step.kind == FaultKind::StoreLinkSilent)
    link.silenceOpen();
  else if (step.kind == FaultKind::StoreLinkOneWay)
    holdLink(link, Mode::HoldBack, step.length);
  else
    holdLink(link, Mode::HoldBoth, step.length);
}

void Soak::strikeTargetLink(const FaultStep &step) {
  FaultyLink &link = *site.machines[step.machine]->targetLink;
  if (step.kind == FaultKind::TargetLinkReset)
    link.resetOpen();
  else if (step.kind == FaultKind::TargetLinkSilent)
    link.silenceOpen();
  else if (step.kind == FaultKind::TargetLinkDelay)
    holdLink(link, Mode::Delay, step.length);
  else
    holdLink(link, Mode::HoldForward, step.length);
}

void Soak::strikeTarget(const FaultStep &step) {
  const std::size_t n = step.machine;
  SiteTarget &target = *site.machines[n]->target;
  if (step.kind == FaultKind::TargetCrashes) {
    target.crash();
    schedule(step.length, [this, n] { startTarget(n); });
    return;
  }
  switch (step.kind) {
  case FaultKind::TargetFails:
    target.setManner(Manner::Fail);
    break;
  case FaultKind::TargetAnswersForeign:
    target.setManner(Manner::Foreign);
    break;
  case FaultKind::TargetAnswersUnsigned:
    target.setManner(Manner::Unsigned);
    break;
  case FaultKind::TargetBreaksOff:
    target.setManner(Manner::BreakOff);
    break;
  case FaultKind::TargetSheds:
    target.setManner(Manner::Shed);
    break;
  default:
    target.setManner(Manner::Hold);
  }
  schedule(step.length, [&target] { target.release(); });
}

void Soak::strikePlanned(const FaultStep &step) {
  const std::size_t n = step.machine;
  const std::string domain = site.machines[n]->failureDomain;
  switch (step.kind) {
  case FaultKind::StopNode:
    stopNode(step);
    break;
  case FaultKind::ReloadNode:
    // Before its first instruction a program cannot keep the signal from ending
    // it.
    if (now() - states[n].nodeStartedAt < NodeLoadTime)
      break;
    ledger.disturbed(n, Disturbance::Planned, now(), now());
    site.machines[n]->node->signal(SIGHUP);
    break;
  case FaultKind::TargetIsReplaced:
    replaceTarget(n, step.length);
    break;
  case FaultKind::DomainOut:
    if (!domainsOut.insert(domain).second)
      break;
    writeDomain(domain);
    ledger.domainTakenOut(domain, now());
    schedule(step.length, [this, domain] { takeDomainBack(domain); });
    break;
  case FaultKind::StoreSetBack:
    setBackStore(step.length);
    break;
  default:
    site.writeConfiguration(++version);
  }
}

void Soak::stopNode(const FaultStep &step) {
  const std::size_t n = step.machine;
  const TimePoint at = now();
  ledger.disturbed(n, Disturbance::Planned, at, at + StopGrace + step.length);
  site.machines[n]->node->signal(SIGTERM);
  const unsigned start = states[n].nodeStarts;
  // The platform kills what has not ended within its grace.
  schedule(StopGrace, [this, n, start] {
    if (states[n].nodeStarts == start)
      site.machines[n]->node->kill();
  });
  schedule(StopGrace + step.length, [this, n] { startNodeIfEnded(n); });
}

void Soak::startNodeIfEnded(std::size_t machine) {
  if (site.machines[machine]->node->isRunning())
    return;
  site.startNode(machine);
  ++states[machine].nodeStarts;
  states[machine].nodeStartedAt = now();
}

void Soak::replaceTarget(std::size_t machine, Duration length) {
  if (states[machine].isLeaving || !site.machines[machine]->target->isUp())
    return;
  states[machine].isLeaving = true;
  beat(machine);
  schedule(length, [this, machine] {
    // Nobody was told that it leaves, so its end comes unannounced.
    if (!states[machine].hasLeft)
      ledger.disturbed(machine, Disturbance::Target, now(), now());
    site.machines[machine]->target->crash();
    startTarget(machine);
  });
}

void Soak::startTarget(std::size_t machine) {
  SiteTarget &target = *site.machines[machine]->target;
  if (target.isUp())
    return;
  MachineState &state = states[machine];
  state.isLeaving = state.hasLeft = false;
  target.restart("i-" + std::to_string(machine) + "-" +
                     std::to_string(++state.targetStarts),
                 ColdTime);
  ledger.becameCold(target.name(), now() + ColdTime);
  beat(machine);
}

void Soak::takeDomainBack(const std::string &domain) {
  if (domainsOut.erase(domain) == 0)
    return;
  ledger.domainTakenBack(domain);
  writeDomain(domain);
}

void Soak::writeDomain(const std::string &domain) {
  domainsSinceCopy.insert(domain);
  site.writeRow("evacuate/" + domain, domainsOut.contains(domain)
                                          ? std::optional<std::string>("{}")
                                          : std::nullopt);
}

void Soak::setBackStore(Duration length) {
  domainsSinceCopy.clear();
  site.setStore({{"copy", true}});
  schedule(length, [this] {
    site.setStore({{"restore", true}});
    schedule(RepeatDelay, [this] { writeAgain(); });
  });
}

void Soak::writeAgain() {
  site.writeConfiguration(version);
  for (const std::string &domain : std::set<std::string>(domainsSinceCopy))
    writeDomain(domain);
}

std::string Soak::nodeStart(std::size_t machine) const {
  return "node-" + std::to_string(machine) + "." +
         std::to_string(states[machine].nodeStarts);
}

void Soak::heal() {
  site.setStore({{"mode", "up"}});
  for (const std::string &domain : std::set<std::string>(domainsOut))
    takeDomainBack(domain);
  for (const auto &machine : site.machines) {
    machine->storeLink->setMode(Mode::Pass);
    machine->targetLink->setMode(Mode::Pass);
    machine->node->signal(SIGCONT);
    if (machine->target->isUp())
      machine->target->release();
  }
}

std::vector<std::string> Soak::recover() {
  std::vector<std::string> missing;
  const std::string newest = "/v" + std::to_string(version) + "/x";
  const TimePoint end = now() + RecoveryBound;
  for (std::size_t n = 0; n < site.machines.size(); ++n) {
    unsigned lastStatus = 0;
    const auto isServing = [&](const std::string &path) {
      lastStatus = serves(n, path);
      return lastStatus == 200;
    };
    const auto isBack = [&] {
      return site.isReady(n) && isServing(PopularPage) && isServing(newest);
    };
    const auto left = std::chrono::ceil<milliseconds>(end - now());
    if (!Fleet::waitUntil(isBack, std::max(left, milliseconds(1))))
      missing.push_back(
          "recovery: node " + std::to_string(n) +
          " serves not all pages; the last status is " +
          std::to_string(lastStatus) + ", its process " +
          (site.machines[n]->node->isRunning() ? "runs" : "has ended"));
  }
  return missing;
}

unsigned Soak::serves(std::size_t machine, const std::string &path) {
  const std::string id = "r" + std::to_string(sequence++);
  ledger.sent(id, true, machine, now());
  const HttpAnswer answer = site.call(machine, "GET", path, id);
  if (answer.status > 1)
    ledger.answered(id, answer.status, answer.body, now());
  else
    ledger.cut(id, now());
  return answer.status;
}

} // namespace plantainhatch::test
