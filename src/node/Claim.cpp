#include "node/Claim.h"

#include <glog/logging.h>

#include <algorithm>

namespace plantainhatch {

namespace {

constexpr std::chrono::milliseconds FirstRetryDelay{200};

Duration retryDelay(unsigned tries) {
  constexpr unsigned MaxShift = 5;
  return std::min<Duration>(FirstRetryDelay * (1U << std::min(tries, MaxShift)),
                            Claim::MaxRetryDelay);
}

} // namespace

ClaimPtr Claim::start(NodeServices &services, std::string key,
                      const CallRequest &request, WallTime deadline,
                      Receiver receiver) {
  ClaimRecord record;
  record.claimId = services.makeId();
  record.requestDigest = claimDigest(request);
  record.node = services.settings.callers.toString();
  record.deadlineMs = deadline.time_since_epoch().count();
  const ClaimPtr claim(new Claim(services, std::move(key), std::move(record),
                                 std::move(receiver)));
  claim->perform(claim->decision.start());
  return claim;
}

Claim::Claim(NodeServices &services, std::string key, ClaimRecord newRecord,
             Receiver receiver)
    : services(services), key(std::move(key)), record(std::move(newRecord)),
      decision(record.claimId, record.requestDigest),
      receiver(std::move(receiver)) {}

void Claim::perform(ClaimAction action) {
  if (std::holds_alternative<InsertClaimAction>(action)) {
    insert();
  } else if (std::holds_alternative<ReadClaimAction>(action)) {
    readRow();
  } else if (auto *const proceed = std::get_if<ProceedAction>(&action)) {
    etag = proceed->etag;
    deliver(std::move(*proceed));
  } else if (auto *const replay = std::get_if<ReplayAction>(&action)) {
    deliver(std::move(*replay));
  } else {
    if (decision.mayHaveOrphanedRow())
      removeOrphanedRow();
    deliver(std::move(std::get<AnswerAction>(action)));
  }
}

void Claim::insert() {
  Transaction transaction;
  transaction.checks.push_back({key, std::nullopt});
  transaction.puts.emplace_back(key, record.toJson());
  const ClaimPtr self(this);
  services.storeClient.commit(
      services.tableName(ClaimTable), transaction,
      [self](const TransactionResult &result) {
        const auto it = result.etags.find(self->key);
        const std::string tag = it == result.etags.end() ? "" : it->second;
        self->perform(self->decision.onInserted(result.result, tag));
      });
}

void Claim::readRow() {
  const ClaimPtr self(this);
  services.storeClient.readRow(
      services.tableName(ClaimTable), key, [self](const RowResult &read) {
        std::optional<ClaimRecord> row;
        StoreResult result = read.result;
        if (result == StoreResult::Ok) {
          auto parsed = ClaimRecord::fromJson(read.row.value);
          if (parsed)
            row = std::move(parsed).value();
          else
            result = StoreResult::Unknown;
        }
        self->perform(self->decision.onRead(result, row, read.row.etag,
                                            NodeServices::wallNow()));
      });
}

void Claim::deliver(Result result) {
  if (const Receiver action = std::exchange(receiver, nullptr))
    action(std::move(result));
}

void Claim::release() {
  Transaction transaction;
  transaction.checks.push_back({key, etag});
  transaction.deletes.push_back(key);
  write(transaction);
}

void Claim::finish(ClaimState state, StoredAnswer answer) {
  record.state = state;
  record.answer = std::move(answer);
  if (record.answer.body.size() > MaxAnswerBytes) {
    record.answer.body.clear();
    record.answer.isComplete = false;
  }
  Transaction transaction;
  transaction.checks.push_back({key, etag});
  transaction.puts.emplace_back(key, record.toJson());
  write(transaction);
}

void Claim::write(const Transaction &transaction) {
  const ClaimPtr self(this);
  services.storeClient.commit(
      services.tableName(ClaimTable), transaction,
      [self, transaction](const TransactionResult &result) {
        self->onWritten(transaction, result.result);
      });
}

void Claim::onWritten(const Transaction &transaction, StoreResult result) {
  // A conflict means that an earlier attempt of this write took effect although
  // its answer was lost, as nothing else changes the row.
  if (result == StoreResult::Ok || result == StoreResult::Conflict)
    return;
  if (++tries >= MaxTries) {
    LOG(WARNING) << "claim " << key << ": row could not be updated after "
                 << tries << " attempts";
    return;
  }
  const ClaimPtr self(this);
  retryTimer.startOnce(retryDelay(tries),
                       [self, transaction] { self->write(transaction); });
}

void Claim::removeOrphanedRow() {
  const ClaimPtr self(this);
  services.storeClient.readRow(
      services.tableName(ClaimTable), key, [self](const RowResult &read) {
        if (read.result == StoreResult::Ok) {
          const auto row = ClaimRecord::fromJson(read.row.value);
          if (!row || row.value().claimId != self->record.claimId)
            return;
          self->etag = read.row.etag;
          self->release();
          return;
        }
        // Retried also if the row is absent, because the insert may still be in
        // flight.
        if (++self->tries < MaxTries)
          self->retryTimer.startOnce(retryDelay(self->tries),
                                     [self] { self->removeOrphanedRow(); });
      });
}

} // namespace plantainhatch
