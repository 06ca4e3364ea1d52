#include "node/Node.h"

#include "connection/TurnMonitor.h"
#include "node/ForwardedCall.h"
#include "request/HeaderNames.h"
#include "request/HttpStatus.h"
#include "request/Outcome.h"

namespace plantainhatch {

namespace {

constexpr std::chrono::seconds EventCountFlushInterval{1};
constexpr std::chrono::milliseconds StopPollInterval{50};

} // namespace

Checked<std::unique_ptr<Node>> Node::start(NodeSettings settings,
                                           AnyPickPolicy policy,
                                           PlatformBindings bindings) {
  std::unique_ptr<Node> node(
      new Node(std::move(settings), std::move(bindings.callProtocol)));
  auto peers = PeerTask::start(node->services);
  if (!peers)
    return std::move(peers).error();
  node->peers = std::move(peers).value();
  node->makeTasks(policy, std::move(bindings));
  node->connectTasks();
  auto listening = node->listen();
  if (!listening)
    return std::move(listening).error();
  const NodeSettings &nodeSettings = node->services.settings;
  node->services.record(EventKind::NodeStarted, nodeSettings.callers.toString(),
                        "in failure domain " + nodeSettings.failureDomain +
                            " of cluster " + nodeSettings.cluster,
                        "start of the process");
  node->startTasks();
  return node;
}

Node::~Node() { TurnMonitor::instance().setListener(nullptr); }

void Node::startTasks() {
  seeds->start();
  if (services.settings.site)
    return;
  configuration->start();
  archive->start();
}

bool Node::isReady() const {
  return configuration->current()->head().version > 0 &&
         stopRequestedAt == TimePoint{};
}

void Node::makeTasks(AnyPickPolicy policy, PlatformBindings bindings) {
  departures = std::make_unique<DepartureTask>(services, *peers);
  configuration = std::make_unique<ConfigurationTask>(
      services, *peers, std::move(bindings.builder));
  crashes = std::make_unique<CrashTask>(services, *peers, *configuration);
  gate = std::make_unique<GateTask>(services, *peers, *configuration, *crashes);
  measure = std::make_unique<MeasureTask>(services, *peers,
                                          [this] { return gate->load(); });
  quotas = std::make_unique<QuotaTask>(services, *peers, *configuration);
  rollouts =
      std::make_unique<RolloutTask>(services, *peers, *configuration, *measure,
                                    std::move(bindings.rolloutStatus));
  ingress = std::make_unique<IngressTask>(services, *peers, *configuration,
                                          *measure, *crashes, *gate, *quotas,
                                          *rollouts, policy);
  status = std::make_unique<StatusTask>(services, *peers, *configuration,
                                        *measure, *crashes, *gate);
  seeds = std::make_unique<SeedTask>(services, *peers);
  archive = std::make_unique<ArchiveTask>(services, *peers);
}

void Node::connectTasks() {
  PeerTask::Listeners listeners;
  listeners.message = [this](const Message &message) {
    measure->onMessage(message);
    crashes->onMessage(message);
    configuration->onMessage(message);
    quotas->onMessage(message);
    rollouts->onMessage(message);
  };
  listeners.configurationVersion = [this](const Address &sender,
                                          std::uint64_t version) {
    configuration->onPeerVersion(sender, version);
  };
  listeners.configuration = [this](const ConfigurationRequest &request) {
    return configuration->answer(request);
  };
  listeners.compactConfiguration =
      [this](const CompactConfigurationRequest &request) {
        return configuration->answer(request);
      };
  listeners.offer = [this](const ConfigurationOffer &offer) {
    configuration->onOffered(offer);
  };
  listeners.departureNotice = [this](const Address &sender,
                                     const DepartureNotice &notice) {
    departures->keepFor(sender, notice);
  };
  listeners.departureQuery = [this](const Address &sender) {
    return departures->answer(sender);
  };
  peers->setListeners(std::move(listeners));
  configuration->addAdoptionListener(
      [this](const ConfigurationPtr & /*before*/) {
        measure->setRates(configuration->current()->measure());
        rollouts->onConfiguration();
      });
  gate->onLoadStep([this] { measure->broadcastLoad(); });
  TurnMonitor::instance().setListener(
      [this](Duration turn) { onTurnEnded(turn); });
  countTimer.startRepeating(EventCountFlushInterval, [this] {
    services.events.flushCounts(services.stamp());
  });
}

void Node::onTurnEnded(Duration turn) {
  services.metrics.latency("main_loop_turn_seconds").record(turn);
  if (turn < LongTurn)
    return;
  services.logDecision(
      DecisionKind::StateChange,
      {{"event", "long-turn"},
       {"ms", std::chrono::floor<std::chrono::milliseconds>(turn).count()},
       {"version", configuration->current()->head().version},
       {"callsInProgress", callsInProgress}});
}

Checked<bool> Node::listen() {
  if (services.settings.site) {
    auto server = HttpServer::listen(
        services.settings.site->forwards, "site.forwards",
        [this](const IncomingCallPtr &call) { serveForward(call); });
    if (!server)
      return std::move(server).error();
    forwards = std::move(server).value();
  } else {
    auto targets = AnnounceTask::start(services, *gate, *departures);
    if (!targets)
      return std::move(targets).error();
    announcements = std::move(targets).value();
  }
  auto server = HttpServer::listen(
      services.settings.callers, "callers",
      [this](const IncomingCallPtr &call) { serve(call); },
      [this](const CallRequest &request) {
        return !isForNode(request) && ingress->mayRunBeside(request);
      });
  if (!server)
    return std::move(server).error();
  callers = std::move(server).value();
  return true;
}

bool Node::isForNode(const CallRequest &request) const {
  // In site mode every path on this address belongs to callers.
  return !services.settings.site &&
         (isForwarded(request) ||
          request.target.starts_with(StatusTask::PathPrefix));
}

void Node::serve(const IncomingCallPtr &call) {
  const bool isStopping = stopRequestedAt != TimePoint{};
  if (isStopping)
    call->closeAfterAnswer();
  if (isForNode(call->request())) {
    serveForward(call);
    return;
  }
  if (services.settings.site && isMinDrainTimeOver()) {
    // A call accepted now might not end before the platform kills the process.
    call->reply(httpStatus::ServiceUnavailable,
                {{headers::Outcome, std::string(toString(Outcome::NotRun))},
                 {headers::RetryAfter, "1"}},
                "node-stopping\n");
    return;
  }
  ++callsInProgress;
  ingress->serve(call, [this] { --callsInProgress; });
}

void Node::serveForward(const IncomingCallPtr &call) {
  if (!isForwarded(call->request())) {
    status->serve(call);
    return;
  }
  ++callsInProgress;
  serveForwardedCall(services, *gate, call, [this] { --callsInProgress; });
}

void Node::stop(std::function<void()> done) {
  if (stopRequestedAt != TimePoint{})
    return;
  stopRequestedAt = NodeServices::now();
  onStopped = std::move(done);
  services.record(EventKind::NodeStopping, services.settings.callers.toString(),
                  std::to_string(callsInProgress) + " calls in progress",
                  "stop requested");
  status->setStopping();
  gate->stop();
  quotas->stop();
  peers->leave();
  stopTimer.startRepeating(StopPollInterval, [this] { continueStop(); });
}

bool Node::isMinDrainTimeOver() const {
  if (stopRequestedAt == TimePoint{})
    return false;
  const Duration minDrainTime =
      services.settings.site ? MinSiteDrainTime : MinDrainTime;
  return NodeServices::now() - stopRequestedAt >= minDrainTime;
}

void Node::continueStop() {
  const auto &site = services.settings.site;
  const Duration since = NodeServices::now() - stopRequestedAt;
  const bool isOverdue = site && since >= site->stopGrace - StopMargin;
  const bool isBusy =
      callsInProgress > 0 || gate->state().inFlightNotGivenUp() > 0;
  if (!isOverdue && (!isMinDrainTimeOver() || isBusy))
    return;
  if (!onStopped)
    return;
  callers.reset();
  forwards.reset();
  services.events.flushCounts(services.stamp());
  if (site) {
    std::exchange(onStopped, nullptr)();
    return;
  }
  archive->flush([done = std::exchange(onStopped, nullptr)] { done(); });
}

} // namespace plantainhatch
