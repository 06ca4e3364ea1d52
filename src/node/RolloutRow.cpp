#include "node/RolloutRow.h"

namespace plantainhatch {

void RolloutRow::synchronize(RolloutPhase wanted) {
  const bool isOver = acknowledged >= RolloutPhase::RolledBack;
  if (isBusy || isOver || isSuperseded)
    return;
  if (!isRead)
    read();
  else if (wanted > acknowledged)
    write(wanted);
}

void RolloutRow::read() {
  isBusy = true;
  services.storeClient.readRow(
      format.table, key(),
      [self = RolloutRowPtr(this)](const RowResult &result) {
        self->onRead(result);
      });
}

void RolloutRow::onRead(const RowResult &result) {
  isBusy = false;
  if (result.result == StoreResult::Absent) {
    isRead = true;
    etag.reset();
    return;
  }
  if (result.result != StoreResult::Ok)
    return;
  isRead = true;
  etag = result.row.etag;
  const auto status = format.decode(result.row.value);
  if (!status || status->order < rule.order)
    return;
  isSuperseded = status->order > rule.order;
  if (!isSuperseded)
    acknowledged = status->phase;
}

void RolloutRow::write(RolloutPhase wanted) {
  isBusy = true;
  Transaction transaction;
  transaction.checks.push_back({key(), etag});
  transaction.puts.emplace_back(
      key(), format.encode({wanted, rule.softwareVersion, rule.order}));
  services.storeClient.commit(
      format.table, transaction,
      [self = RolloutRowPtr(this), wanted](const TransactionResult &result) {
        self->onWritten(wanted, result);
      });
}

void RolloutRow::onWritten(RolloutPhase wanted,
                           const TransactionResult &result) {
  isBusy = false;
  if (result.result != StoreResult::Ok) {
    // Another node may have written, or this one without an answer.
    isRead = false;
    return;
  }
  acknowledged = wanted;
  const auto written = result.etags.find(key());
  if (written != result.etags.end())
    etag = written->second;
  else
    isRead = false;
}

} // namespace plantainhatch
