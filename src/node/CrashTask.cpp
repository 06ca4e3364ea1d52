#include "node/CrashTask.h"

#include "connection/connectTo.h"

#include <algorithm>
#include <sstream>

namespace plantainhatch {

namespace {

constexpr std::chrono::seconds ExpiryInterval{30};

std::string formatFingerprint(std::uint64_t fingerprint) {
  std::ostringstream text;
  text << std::hex << fingerprint;
  return text.str();
}

} // namespace

CrashTask::CrashTask(NodeServices &services, PeerTask &peers,
                     const ConfigurationTask &configuration)
    : services(services), peers(peers), configuration(configuration) {
  expiryTimer.startRepeating(
      ExpiryInterval, [this] { quarantine.expire(NodeServices::now()); });
  queryTimer.startRepeating(QueryInterval, [this] { queryQuarantine(); });
}

bool CrashTask::isQuarantined(std::uint64_t fingerprint) const {
  return quarantine.isQuarantined(fingerprint, NodeServices::now()) &&
         !configuration.current()->isAllowed(fingerprint);
}

void CrashTask::onFailure(const Gate &gate, const std::string &bootId,
                          CrashCallback callback) {
  if (activeCheck && activeCheck->bootId == bootId) {
    activeCheck->callbacks.push_back(std::move(callback));
    return;
  }
  // Only one instance is checked at a time.
  if (activeCheck) {
    callback(false);
    return;
  }
  activeCheck = std::make_unique<FailureCheck>();
  activeCheck->bootId = bootId;
  activeCheck->service = gate.target().service;
  activeCheck->fingerprints = gate.fingerprintsInFlight();
  activeCheck->callbacks.push_back(std::move(callback));
  activeCheck->startedAt = NodeServices::now();
  activeCheck->target = gate.target().address;
  probeTarget(*activeCheck);
}

void CrashTask::probeTarget(const FailureCheck &check) {
  connectTo(check.target, ConnectTimeout,
            [weak = std::weak_ptr(alive),
             bootId = check.bootId](const ConnectResult &result) {
              if (const auto self = weak.lock())
                (*self)->onProbeResult(bootId, result.isRefused);
            });
}

void CrashTask::onProbeResult(const std::string &bootId, bool isRefused) {
  if (activeCheck && activeCheck->bootId == bootId) {
    if (isRefused)
      reportCrash(std::move(activeCheck));
    else if (++activeCheck->unrefusedProbes < ProbeOffsets.size())
      probeTimer.startOnce(ProbeOffsets[activeCheck->unrefusedProbes] -
                               ProbeOffsets[activeCheck->unrefusedProbes - 1],
                           [this] {
                             if (activeCheck)
                               probeTarget(*activeCheck);
                           });
    else
      dismissCheck();
    return;
  }
  if (dismissedCheck && dismissedCheck->bootId == bootId && isRefused)
    reportCrash(std::move(dismissedCheck));
}

void CrashTask::dismissCheck() {
  const auto callbacks = std::exchange(activeCheck->callbacks, {});
  dismissedCheck = std::move(activeCheck);
  lateProbeTimer.startOnce(LateProbeDelay, [this] {
    if (dismissedCheck)
      probeTarget(*dismissedCheck);
  });
  for (const CrashCallback &callback : callbacks)
    callback(false);
}

void CrashTask::onTargetStarted(const std::string &oldBootId) {
  if (activeCheck && activeCheck->bootId == oldBootId) {
    reportCrash(std::move(activeCheck));
    return;
  }
  if (!dismissedCheck || dismissedCheck->bootId != oldBootId)
    return;
  auto crash = std::move(dismissedCheck);
  if (NodeServices::now() - crash->startedAt < FailureRetention)
    reportCrash(std::move(crash));
}

void CrashTask::reportCrash(std::unique_ptr<FailureCheck> crash) {
  // The crash may be detected late, at the start of the next instance. A
  // request that was answered in full since the failure did not cause it.
  std::erase_if(crash->fingerprints, [&](std::uint64_t it) {
    return quarantine.wasCompletedSince(it, crash->startedAt);
  });
  const std::uint64_t sequence = nextSequence++;
  const CrashReport message{sequence, services.settings.peers, crash->bootId,
                            crash->fingerprints};
  applyCrashReport(message);
  auto broadcast = std::make_unique<ReportBroadcast>();
  broadcast->report = message;
  broadcast->callbacks = std::move(crash->callbacks);
  broadcast->unacknowledged = peers.index().candidatesOf(crash->service);
  broadcast->unacknowledged.erase(services.settings.peers);
  broadcast->deadline = NodeServices::now() + AckTimeout;
  broadcast->timer.startRepeating(ResendInterval,
                                  [this, sequence] { resendReport(sequence); });
  broadcasts[sequence] = std::move(broadcast);
  resendReport(sequence);
}

void CrashTask::resendReport(std::uint64_t sequence) {
  const ReportBroadcast &broadcast = *broadcasts.at(sequence);
  if (broadcast.unacknowledged.empty() ||
      NodeServices::now() >= broadcast.deadline) {
    finishBroadcast(sequence);
    return;
  }
  const std::set<Address> receivers = broadcast.unacknowledged;
  for (const Address &receiver : receivers)
    peers.sendWithoutUpdates(receiver, broadcast.report);
}

void CrashTask::applyCrashReport(const CrashReport &report) {
  const auto fingerprints = quarantine.onCrash(
      {report.target, report.bootId}, report.fingerprints, NodeServices::now());
  for (const std::uint64_t fingerprint : fingerprints) {
    services.metrics.add("quarantined_total");
    services.record(EventKind::RequestQuarantined,
                    formatFingerprint(fingerprint),
                    "no longer dispatched to targets",
                    "in flight at the crashes of " +
                        std::to_string(Quarantine::CrashLimit) +
                        " targets, most recently of the one at " +
                        report.target.toString());
  }
}

void CrashTask::onRequestCompleted(std::uint64_t fingerprint) {
  if (!quarantine.onCompleted(fingerprint, NodeServices::now()))
    return;
  onCleared(fingerprint, "answered in full");
  if (!peers.membership().self().target.isServing())
    return;
  for (const Address &peer :
       peers.index().candidatesOf(peers.membership().self().target.service))
    if (peer != services.settings.peers)
      peers.sendWithoutUpdates(peer, CrashCleared{fingerprint});
}

void CrashTask::onCleared(std::uint64_t fingerprint, const std::string &cause) {
  services.record(EventKind::RequestCleared, formatFingerprint(fingerprint),
                  "no longer suspected", cause);
}

void CrashTask::queryQuarantine() {
  const ScopedControlCpuTimer scope(services.metrics);
  auto entries = quarantine.list(NodeServices::now());
  std::erase_if(entries, [](const auto &it) { return !it.isQuarantined; });
  if (entries.empty())
    return;
  std::ranges::shuffle(entries, services.random);
  entries.resize(std::min(entries.size(), MaxQueries));
  std::set<Address> candidates =
      peers.index().candidatesOf(peers.membership().self().target.service);
  candidates.erase(services.settings.peers);
  std::vector<Address> receivers;
  std::ranges::sample(candidates, std::back_inserter(receivers), QueryFanout,
                      services.random);
  for (const Quarantine::Entry &entry : entries) {
    const auto age = std::chrono::floor<std::chrono::milliseconds>(entry.age);
    for (const Address &receiver : receivers)
      peers.sendWithoutUpdates(
          receiver, CrashQuery{entry.fingerprint,
                               static_cast<std::uint32_t>(age.count())});
  }
}

void CrashTask::onCrashQuery(const CrashQuery &query, const Address &sender) {
  const TimePoint lastCrash =
      NodeServices::now() - std::chrono::milliseconds(query.ageMs);
  if (quarantine.wasCompletedSince(query.fingerprint, lastCrash))
    peers.sendWithoutUpdates(sender, CrashCleared{query.fingerprint});
}

void CrashTask::onMessage(const Message &message) {
  if (const auto *const crash = std::get_if<CrashReport>(&message.body)) {
    applyCrashReport(*crash);
    peers.sendWithoutUpdates(message.header.sender, CrashAck{crash->sequence});
  } else if (const auto *const ack = std::get_if<CrashAck>(&message.body)) {
    onAck(message.header.sender, ack->sequence);
  } else if (const auto *const cleared =
                 std::get_if<CrashCleared>(&message.body)) {
    if (quarantine.clear(cleared->fingerprint))
      onCleared(cleared->fingerprint,
                "answered in full at " + message.header.sender.toString());
  } else if (const auto *const query = std::get_if<CrashQuery>(&message.body)) {
    onCrashQuery(*query, message.header.sender);
  }
}

void CrashTask::onAck(const Address &sender, std::uint64_t sequence) {
  const auto it = broadcasts.find(sequence);
  if (it == broadcasts.end())
    return;
  it->second->unacknowledged.erase(sender);
  if (it->second->unacknowledged.empty())
    finishBroadcast(sequence);
}

void CrashTask::finishBroadcast(std::uint64_t sequence) {
  const auto it = broadcasts.find(sequence);
  if (it == broadcasts.end())
    return;
  const std::unique_ptr<ReportBroadcast> broadcast = std::move(it->second);
  broadcasts.erase(it);
  for (const CrashCallback &callback : broadcast->callbacks)
    callback(true);
}

} // namespace plantainhatch
