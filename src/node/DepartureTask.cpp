#include "node/DepartureTask.h"

#include "process/Rendezvous.h"
#include "process/metricLabel.h"

#include <algorithm>

namespace plantainhatch {

namespace {

constexpr std::chrono::milliseconds TickInterval{50};
/** First and longest delay before a retry at the store and at other nodes. */
constexpr std::chrono::milliseconds StoreRetryDelay{300};
constexpr std::chrono::milliseconds MaxStoreRetryDelay{4'000};
/** Longest delay before a row is written again that the store may have lost. */
constexpr std::chrono::milliseconds MaxRewriteDelay{500};
constexpr std::chrono::milliseconds PeerRetryDelay{150};
constexpr std::chrono::milliseconds MaxPeerRetryDelay{2'000};

std::chrono::milliseconds toMilliseconds(Duration time) {
  return std::chrono::floor<std::chrono::milliseconds>(time);
}

const char *toText(DepartureRecord::Copies copies) {
  switch (copies) {
  case DepartureRecord::Copies::Store:
    return "store";
  case DepartureRecord::Copies::Peer:
    return "node";
  case DepartureRecord::Copies::Pending:
  case DepartureRecord::Copies::None:
    break;
  }
  return "none";
}

} // namespace

DepartureTask::DepartureTask(NodeServices &services, PeerTask &peers)
    : services(services), peers(peers), storeRetryDelay(StoreRetryDelay),
      peerRetryDelay(PeerRetryDelay) {
  services.storeClient.addEraListener([this] { onStoreSetBack(); });
}

void DepartureTask::onStoreSetBack() {
  state.onStoreSetBack();
  isEtagKnown = false;
  if (!state.isUnsaved())
    return;
  // All nodes write again, and share the store's rate of writes.
  std::uniform_int_distribution<std::int64_t> spread(0,
                                                     MaxRewriteDelay.count());
  nextStoreAttemptAt =
      NodeServices::now() + std::chrono::milliseconds(spread(services.random));
  resumeTicks();
}

void DepartureTask::record(const Departure &departure, RecordedCallback done) {
  const std::uint64_t revision = state.add(departure);
  const TimePoint now = NodeServices::now();
  pendingRecords.push_back({departure, revision, now, std::move(done)});
  peerRetryDelay = PeerRetryDelay;
  nextPeerAttemptAt = now;
  resumeTicks();
}

void DepartureTask::resumeTicks() {
  if (!timer.isRunning())
    timer.startRepeating(TickInterval, [this] { tick(); });
  tick();
}

void DepartureTask::whenRestored(std::function<void()> action) {
  finishRestore();
  if (isRestoreReported) {
    action();
    return;
  }
  waitingActions.push_back(std::move(action));
  if (waitingActions.size() > MaxWaitingActions)
    waitingActions.pop_front();
  state.startRestore(NodeServices::now());
  resumeTicks();
}

void DepartureTask::tick() {
  const ScopedControlCpuTimer scope(services.metrics);
  useStore();
  usePeers();
  finishRestore();
  finishRecords();
  const bool isRestoring = state.isRestoreStarted() &&
                           !(isRestoreReported && state.hasStoreAnswered());
  const bool isIdle =
      !isRestoring && !state.isUnsaved() && pendingRecords.empty();
  if (isIdle)
    timer.stop();
}

void DepartureTask::useStore() {
  if (isStoreBusy || NodeServices::now() < nextStoreAttemptAt)
    return;
  const bool mustRead = state.isRestoreStarted() && !state.hasStoreAnswered();
  if (!mustRead && !state.isUnsaved())
    return;
  if (isEtagKnown)
    writeRow();
  else
    readRow();
}

void DepartureTask::readRow() {
  isStoreBusy = true;
  services.storeClient.readRow(services.tableName(DepartureTable),
                               services.settings.peers.toString(),
                               [this](const RowResult &row) { onRow(row); });
}

void DepartureTask::onRow(const RowResult &row) {
  isStoreBusy = false;
  if (row.result != StoreResult::Ok && row.result != StoreResult::Absent) {
    retryStoreLater();
    return;
  }
  isEtagKnown = true;
  storeRetryDelay = StoreRetryDelay;
  etag = row.result == StoreResult::Ok ? std::optional(row.row.etag)
                                       : std::nullopt;
  // A row that cannot be decoded was written by someone else.
  const auto decoded =
      services.codec.decode<std::vector<Departure>>(row.row.value);
  onRead(state.onStoreRead(decoded.value_or(std::vector<Departure>())));
  tick();
}

void DepartureTask::writeRow() {
  isStoreBusy = true;
  const std::string key = services.settings.peers.toString();
  Transaction transaction;
  transaction.checks.push_back({key, etag});
  transaction.puts.emplace_back(key,
                                services.codec.encode(state.list().entries()));
  services.storeClient.commit(
      services.tableName(DepartureTable), transaction,
      [this, key, revision = state.revision()](const TransactionResult &it) {
        isStoreBusy = false;
        if (it.result == StoreResult::Ok) {
          etag = it.etags.at(key);
          state.onStoreWritten(revision);
        } else {
          // The row shows whether the write took effect.
          isEtagKnown = false;
          if (it.result != StoreResult::Conflict)
            retryStoreLater();
        }
        tick();
      });
}

void DepartureTask::retryStoreLater() {
  nextStoreAttemptAt = NodeServices::now() + storeRetryDelay;
  storeRetryDelay = std::min<Duration>(storeRetryDelay * 2, MaxStoreRetryDelay);
}

void DepartureTask::usePeers() {
  const TimePoint now = NodeServices::now();
  const bool mustAsk = state.isRestoreStarted() && !isRestoreReported;
  const bool mustNotify = !pendingRecords.empty() && state.isUnkept();
  if ((!mustAsk && !mustNotify) || now < nextPeerAttemptAt)
    return;
  const auto keepers = findSpread(peers.membership(),
                                  services.settings.peers.toString(), Keepers);
  if (keepers.empty())
    return;
  nextPeerAttemptAt = now + peerRetryDelay;
  peerRetryDelay = std::min<Duration>(peerRetryDelay * 2, MaxPeerRetryDelay);
  for (const Address &peer : keepers) {
    if (mustAsk && !answeredPeers.contains(peer))
      askPeer(peer);
    if (mustNotify)
      notifyPeer(peer);
  }
}

void DepartureTask::askPeer(const Address &peer) {
  peers.request(peer, DepartureQuery{},
                [this, peer](const std::optional<BulkReplyBody> &body) {
                  const auto *const reply =
                      body ? std::get_if<DepartureReply>(&*body) : nullptr;
                  if (reply == nullptr)
                    return;
                  answeredPeers.insert(peer);
                  onRead(state.onPeerRead(reply->departures));
                  finishRestore();
                });
}

void DepartureTask::notifyPeer(const Address &peer) {
  peers.request(peer, DepartureNotice{state.list().entries()},
                [this, revision = state.revision()](
                    const std::optional<BulkReplyBody> &body) {
                  if (body && std::holds_alternative<PushReply>(*body))
                    state.onPeerKept(revision);
                  finishRecords();
                });
}

void DepartureTask::onRead(bool hasGrown) {
  if (!hasGrown)
    return;
  if (isRestoreReported && lateDepartureCallback)
    lateDepartureCallback();
  resumeTicks();
}

void DepartureTask::finishRestore() {
  const TimePoint now = NodeServices::now();
  if (isRestoreReported || !state.isRestored(now))
    return;
  isRestoreReported = true;
  services.logDecision(DecisionKind::StateChange,
                       {{"event", "departures-restored"},
                        {"departures", state.list().entries().size()},
                        {"fromStore", state.hasStoreAnswered()},
                        {"fromNode", state.hasPeerAnswered()}});
  for (const auto &action : std::exchange(waitingActions, {}))
    action();
}

void DepartureTask::finishRecords() {
  const TimePoint now = NodeServices::now();
  const auto isPending = [&](const PendingRecord &it) {
    return state.copiesOf(it.revision, it.addedAt, now) ==
           DepartureRecord::Copies::Pending;
  };
  const auto endedRange =
      std::ranges::stable_partition(pendingRecords, isPending);
  const std::vector<PendingRecord> ended(
      std::make_move_iterator(endedRange.begin()),
      std::make_move_iterator(endedRange.end()));
  pendingRecords.erase(endedRange.begin(), endedRange.end());
  for (const PendingRecord &it : ended) {
    const auto copies = state.copiesOf(it.revision, it.addedAt, now);
    services.metrics.add("departures_recorded_total",
                         metricLabel("copy", toText(copies)));
    services.logDecision(DecisionKind::StateChange,
                         {{"event", "departure-recorded"},
                          {"bootId", it.departure.bootId},
                          {"copy", toText(copies)},
                          {"ms", toMilliseconds(now - it.addedAt).count()}});
    it.done(copies != DepartureRecord::Copies::None);
  }
}

} // namespace plantainhatch
