#include "node/Node.h"

#include "node/ForwardedCall.h"

namespace plantainhatch {

namespace {

constexpr std::chrono::seconds CountInterval{1};
constexpr std::chrono::milliseconds StopTick{50};

} // namespace

Checked<std::unique_ptr<Node>> Node::start(NodeSettings settings,
                                           AnyPickPolicy policy) {
  std::unique_ptr<Node> node(new Node(std::move(settings)));
  auto peers = PeerTask::start(node->services);
  if (!peers)
    return std::move(peers).error();
  node->peers = std::move(peers).value();
  node->makeTasks(policy);
  node->connectTasks();
  auto listening = node->listen();
  if (!listening)
    return std::move(listening).error();
  const NodeSettings &own = node->services.settings;
  node->services.record(EventKind::NodeStarted, own.callers.toString(),
                        "in " + own.failureDomain + " of " + own.cluster,
                        "start of the process");
  node->configuration->start();
  node->seeds->start();
  node->archive->start();
  return node;
}

void Node::makeTasks(AnyPickPolicy policy) {
  configuration = std::make_unique<ConfigurationTask>(services, *peers);
  crashes = std::make_unique<CrashTask>(services, *peers, *configuration);
  gate = std::make_unique<GateTask>(services, *peers, *configuration, *crashes);
  measure = std::make_unique<MeasureTask>(services, *peers,
                                          [this] { return gate->load(); });
  ingress = std::make_unique<IngressTask>(services, *peers, *configuration,
                                          *measure, *crashes, *gate, policy);
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
  };
  listeners.version = [this](const Address &sender, std::uint64_t version) {
    configuration->onVersionHeard(sender, version);
  };
  listeners.configuration = [this](const ConfigurationRequest &request) {
    return configuration->answer(request);
  };
  listeners.offer = [this](const ConfigurationOffer &offer) {
    configuration->onOffered(offer);
  };
  peers->listen(std::move(listeners));
  configuration->onAdopted([this](const ConfigurationPtr & /*before*/) {
    measure->reshape(configuration->current()->measure());
  });
  countTimer.startRepeating(
      CountInterval, [this] { services.events.flushCounts(services.stamp()); });
}

Checked<bool> Node::listen() {
  auto targets = AnnounceTask::start(services, *gate);
  if (!targets)
    return std::move(targets).error();
  announcements = std::move(targets).value();
  auto server =
      HttpServer::listen(services.settings.callers, "callers",
                         [this](const IncomingCallPtr &call) { serve(call); });
  if (!server)
    return std::move(server).error();
  callers = std::move(server).value();
  return true;
}

void Node::serve(const IncomingCallPtr &call) {
  const bool isStopping = stopRequestedAt != TimePoint{};
  if (isStopping)
    call->closeAfterAnswer();
  if (call->request().target.starts_with(StatusTask::PathPrefix)) {
    status->serve(call);
    return;
  }
  ++callsInProgress;
  const auto onDone = [this] { --callsInProgress; };
  if (isForwarded(call->request()))
    serveForwardedCall(services, *gate, call, onDone);
  else
    ingress->serve(call, onDone);
}

void Node::stop(std::function<void()> done) {
  if (stopRequestedAt != TimePoint{})
    return;
  stopRequestedAt = NodeServices::now();
  stopped = std::move(done);
  services.record(EventKind::NodeStopping, services.settings.callers.toString(),
                  std::to_string(callsInProgress) + " calls in progress",
                  "asked to stop");
  status->setStopping();
  gate->stop();
  peers->leave();
  stopTimer.startRepeating(StopTick, [this] { continueStop(); });
}

void Node::continueStop() {
  const bool hasSettled = NodeServices::now() - stopRequestedAt >= SettleTime;
  if (!hasSettled || callsInProgress > 0 || gate->state().wanted() > 0)
    return;
  if (!stopped)
    return;
  callers.reset();
  services.events.flushCounts(services.stamp());
  archive->flush([done = std::exchange(stopped, nullptr)] { done(); });
}

} // namespace plantainhatch
