#include "node/SeedTask.h"

#include "process/Rendezvous.h"

#include <algorithm>

namespace plantainhatch {

namespace {

constexpr unsigned MaxRows = 1000;

std::string rowPrefix(const std::string &failureDomain) {
  return failureDomain + "/";
}

} // namespace

SeedTask::SeedTask(NodeServices &services, PeerTask &peers)
    : services(services), peers(peers) {}

void SeedTask::start() {
  timer.startRepeating(BootstrapInterval, [this] { tick(); });
  joinConfiguredSeeds();
  readSeeds();
}

void SeedTask::tick() {
  const ScopedControlCpuTimer scope(services.metrics);
  joinNext(joinsPerInterval(peers.membership().presentCount(), seedCount));
  const bool isAlone = peers.membership().presentCount() == 1;
  const TimePoint now = NodeServices::now();
  if (isAlone)
    joinConfiguredSeeds();
  const Duration interval = services.settings.site
                                ? Duration(SiteRefreshInterval)
                                : Duration(RefreshInterval);
  const bool isDue = now - lastReadAt >= interval &&
                     isSelectedFor(peers.membership(), "seeds", RowsPerDomain);
  const bool isDueWhileAlone = isAlone && now - lastReadAt >= bootstrapInterval;
  if (isDueWhileAlone || isDue)
    readSeeds();
}

void SeedTask::joinConfiguredSeeds() {
  for (const Address &seed : services.settings.seeds)
    peers.join(seed);
}

void SeedTask::readSeeds() {
  lastReadAt = NodeServices::now();
  services.storeClient.readRows(
      services.tableName(SeedTable), "", MaxRows,
      [this](const RowsResult &result) {
        const ScopedControlCpuTimer scope(services.metrics);
        if (result.result == StoreResult::Ok) {
          bootstrapInterval = BootstrapInterval;
          onRows(result.rows);
        } else {
          bootstrapInterval =
              std::min<Duration>(bootstrapInterval * 2, MaxBootstrapInterval);
        }
      });
}

void SeedTask::onRows(const std::vector<Row> &rows) {
  pendingJoins.clear();
  seedCount = rows.size();
  for (const Row &row : rows) {
    const auto address = Address::parse(row.value);
    if (address && !isPresent(*address))
      pendingJoins.push_back(*address);
  }
  std::ranges::shuffle(pendingJoins, services.random);
  joinNext(1);
  acquireRow(rows);
}

void SeedTask::joinNext(std::size_t count) {
  while (count > 0 && !pendingJoins.empty()) {
    const Address seed = pendingJoins.back();
    pendingJoins.pop_back();
    if (isPresent(seed))
      continue;
    peers.join(seed);
    --count;
  }
}

void SeedTask::acquireRow(const std::vector<Row> &rows) {
  const std::string self = services.settings.peers.toString();
  const std::string prefix = rowPrefix(services.settings.failureDomain);
  if (std::ranges::any_of(rows,
                          [&](const Row &row) { return row.value == self; }))
    return;
  for (unsigned slot = 0; slot < RowsPerDomain; ++slot) {
    const std::string key = prefix + std::to_string(slot);
    const auto it = std::ranges::find(rows, key, &Row::key);
    const bool isFree = it == rows.end();
    if (!isFree) {
      const auto holder = Address::parse(it->value);
      if (holder && isPresent(*holder))
        continue;
    }
    Transaction transaction;
    transaction.checks.push_back(
        {key, isFree ? std::nullopt : std::optional(it->etag)});
    transaction.puts.emplace_back(key, self);
    services.storeClient.commit(services.tableName(SeedTable), transaction,
                                [](const TransactionResult & /*result*/) {});
    return;
  }
}

bool SeedTask::isPresent(const Address &address) const {
  const Member *const member = peers.membership().find(address);
  return member != nullptr && member->isPresent();
}

} // namespace plantainhatch
