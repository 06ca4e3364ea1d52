#include "node/MeasureTask.h"

#include "process/BroadcastPlan.h"

namespace plantainhatch {

namespace {

/** Charged to the budget for each message, as its size is not known before it
 * is encoded. The encoded size is counted in measure_bytes_total. */
constexpr std::size_t ChargedMessageBytes = 192;
constexpr std::chrono::seconds ExpiryInterval{10};

} // namespace

MeasureTask::MeasureTask(NodeServices &services, PeerTask &peers,
                         LoadSource source)
    : services(services), peers(peers), source(std::move(source)) {
  budget.setRates(MeasureRule());
  expiryTimer.startRepeating(ExpiryInterval,
                             [this] { table.expire(NodeServices::now()); });
}

void MeasureTask::onMessage(const Message &message) {
  if (const auto *const probe = std::get_if<LoadProbe>(&message.body))
    answerProbe(message.header.sender, *probe);
  else if (const auto *const report = std::get_if<LoadReport>(&message.body))
    table.onReport(message.header.sender, *report, NodeServices::now());
  else if (const auto *const relayed = std::get_if<RelayedLoad>(&message.body))
    onRelayedLoad(message.header.sender, *relayed);
}

void MeasureTask::broadcastLoad() {
  const LoadReport report = source();
  const auto plan = BroadcastPlan::make(peers.membership(), services.random);
  peers.sendToAll(plan.local, report);
  peers.sendToAll(plan.relays, RelayedLoad{services.settings.peers, report});
}

void MeasureTask::onRelayedLoad(const Address &sender,
                                const RelayedLoad &relayed) {
  services.metrics.add("relayed_loads_total");
  table.onReport(relayed.subject, relayed.report, NodeServices::now());
  if (!isInOtherDomain(sender))
    return;
  const auto plan = BroadcastPlan::make(peers.membership(), services.random);
  peers.sendToAll(plan.local, relayed);
}

bool MeasureTask::isInOtherDomain(const Address &member) const {
  const Member *const found = peers.membership().find(member);
  return found != nullptr &&
         found->failureDomain != services.settings.failureDomain;
}

void MeasureTask::probeIfStale(const Address &candidate) {
  const TimePoint now = NodeServices::now();
  if (table.estimate(candidate, 1, now).age < MinProbeAge)
    return;
  if (!budget.trySpend(ChargedMessageBytes, now))
    return;
  const std::size_t n =
      peers.sendWithoutUpdates(candidate, LoadProbe{nextSequence++});
  services.metrics.add("measure_messages_total");
  services.metrics.add("measure_bytes_total", {}, n);
}

void MeasureTask::answerProbe(const Address &sender, const LoadProbe &probe) {
  if (!budget.trySpend(ChargedMessageBytes, NodeServices::now()))
    return;
  LoadReport report = source();
  report.sequence = probe.sequence;
  const std::size_t n = peers.sendWithoutUpdates(sender, report);
  services.metrics.add("measure_messages_total");
  services.metrics.add("measure_bytes_total", {}, n);
}

} // namespace plantainhatch
