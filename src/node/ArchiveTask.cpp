#include "node/ArchiveTask.h"

#include "base/Text.h"
#include "node/EventJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace plantainhatch {

ArchiveTask::ArchiveTask(NodeServices &services, PeerTask &peers)
    : services(services), peers(peers) {}

void ArchiveTask::start() { schedule(); }

void ArchiveTask::schedule() {
  const auto members =
      static_cast<std::int64_t>(peers.membership().presentCount());
  const Duration interval =
      std::max<Duration>(MinInterval, IntervalPerNode * members);
  timer.startOnce(interval, [this] {
    const ScopedControlCpuTimer scope(services.metrics);
    flush([] {});
    schedule();
  });
}

void ArchiveTask::flush(std::function<void()> done) {
  const auto events = services.events.since(savedUntil);
  if (events.empty()) {
    done();
    return;
  }
  const HybridTime until = events.back().time;
  const std::string object =
      services.settings.cluster + "-events-" +
      digestOf(services.settings.callers.toString() + "/" + until.toString());
  services.storeClient.writeObject(
      object, encodeJson(toJson(events)),
      [this, object, until, done = std::move(done)](StoreResult result) {
        if (result == StoreResult::Ok)
          listSegment(object, until, done);
        else
          done();
      });
}

void ArchiveTask::listSegment(const std::string &object, HybridTime until,
                              std::function<void()> done) {
  const std::string key = services.settings.callers.toString() + "/" +
                          std::to_string(nextRow % RowsPerNode);
  Transaction transaction;
  transaction.puts.emplace_back(key, object);
  services.storeClient.commit(
      services.tableName(EventTable), transaction,
      [this, until, done = std::move(done)](const TransactionResult &result) {
        if (result.result == StoreResult::Ok) {
          savedUntil = std::max(savedUntil, until);
          ++nextRow;
        }
        done();
      });
}

} // namespace plantainhatch
