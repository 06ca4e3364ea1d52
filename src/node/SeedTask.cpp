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
    : services(services), peers(peers) {
  // The rows may be as they were before. Those chosen to read them do so at the
  // next tick, and take the rows that are free or name absent nodes.
  services.storeClient.addEraListener([this] { lastReadAt = TimePoint{}; });
}

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
  const Duration siteInterval =
      hasRefreshed ? Duration(SiteRefreshInterval) : Duration(SiteFirstRefresh);
  const Duration interval =
      services.settings.site ? siteInterval : Duration(RefreshInterval);
  const bool isDue = now - lastReadAt >= interval &&
                     isSelectedFor(peers.membership(), "seeds", RowsPerDomain);
  hasRefreshed = hasRefreshed || isDue;
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
  ++readCount;
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
      if (holder && isHeld(*holder))
        continue;
    }
    Transaction transaction;
    transaction.checks.push_back(
        {key, isFree ? std::nullopt : std::optional(it->etag)});
    transaction.puts.emplace_back(key, self);
    services.storeClient.commit(services.tableName(SeedTable), transaction,
                                [this](const TransactionResult &result) {
                                  joinHolders(result.conflicts);
                                });
    return;
  }
}

void SeedTask::joinHolders(const std::vector<Row> &rows) {
  for (const Row &row : rows)
    if (const auto holder = Address::parse(row.value))
      peers.join(*holder);
}

bool SeedTask::isHeld(const Address &holder) const {
  // A node that starts knows few others at its first read, and would take their
  // rows. Those that it does not know at the next one are gone.
  const bool isKnown = peers.membership().find(holder) != nullptr;
  return isKnown ? isPresent(holder) : readCount == 1;
}

bool SeedTask::isPresent(const Address &address) const {
  const Member *const member = peers.membership().find(address);
  return member != nullptr && member->isPresent();
}

} // namespace plantainhatch
