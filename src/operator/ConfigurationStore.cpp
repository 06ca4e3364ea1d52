#include "operator/ConfigurationStore.h"

#include "base/Digest.h"
#include "base/Text.h"
#include "node/ConfigurationTask.h"
#include "operator/MainLoop.h"

#include <nlohmann/json.hpp>

namespace plantainhatch {

namespace {

constexpr unsigned MaxHistory = 100'000;
constexpr std::chrono::milliseconds ResolveInterval{300};

Findings unavailable(const std::string &what) {
  return {{"platform",
           0,
           0,
           {},
           what + ": the store does not answer; try again later"}};
}

std::string makeApplyId() {
  const std::unique_ptr<gchar, decltype(&g_free)> id(g_uuid_string_random(),
                                                     g_free);
  return id.get();
}

ChangeResult accepted(const ConfigurationHead &head) {
  ChangeResult result;
  result.kind = ChangeResult::Kind::Accepted;
  result.head = head;
  return result;
}

ChangeResult lost(const ConfigurationHead &winner) {
  ChangeResult result;
  result.kind = ChangeResult::Kind::Lost;
  result.winner = winner;
  return result;
}

ChangeResult failed(ChangeResult::Kind kind, const ConfigurationHead &head,
                    std::string reason) {
  ChangeResult result;
  result.kind = kind;
  result.head = head;
  result.reason = std::move(reason);
  return result;
}

std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

ConfigurationStore::ConfigurationStore(std::string cluster,
                                       StoreClient &platform)
    : cluster(std::move(cluster)), platform(platform) {}

RowResult ConfigurationStore::readHeadRow() {
  return await<RowResult>([this](const auto &done) {
    platform.readRow(table(), HeadRowKey, done);
  });
}

Checked<StoredConfiguration> ConfigurationStore::read() {
  const RowResult row = readHeadRow();
  if (row.result == StoreResult::Absent)
    return StoredConfiguration{Configuration::makeEmpty(), std::nullopt};
  if (row.result != StoreResult::Ok)
    return unavailable("reading the head row");
  const auto head = ConfigurationHead::fromJson(row.row.value);
  if (!head)
    return head.error();
  auto configuration = load(head.value());
  if (!configuration)
    return std::move(configuration).error();
  return StoredConfiguration{std::move(configuration).value(), row.row.etag};
}

Checked<ConfigurationPtr>
ConfigurationStore::load(const ConfigurationHead &head) {
  if (head.version == 0)
    return Configuration::makeEmpty();
  const auto object = await<ObjectResult>([&](const auto &done) {
    platform.readObject(configurationObjectName(cluster, head.digest), done);
  });
  if (object.result != StoreResult::Ok)
    return unavailable("reading the text of version " +
                       std::to_string(head.version));
  return Configuration::build(head, object.bytes);
}

Checked<ConfigurationPtr>
ConfigurationStore::readVersion(std::uint64_t version) {
  const RowResult row = await<RowResult>([&](const auto &done) {
    platform.readRow(table(), historyRowKey(version), done);
  });
  if (row.result == StoreResult::Absent)
    return Findings{{"history",
                     0,
                     0,
                     {},
                     "there is no version " + std::to_string(version)}};
  if (row.result != StoreResult::Ok)
    return unavailable("reading the history");
  const auto head = ConfigurationHead::fromJson(row.row.value);
  if (!head)
    return head.error();
  return load(head.value());
}

Checked<std::vector<ConfigurationHead>> ConfigurationStore::readHistory() {
  const RowsResult rows = await<RowsResult>([this](const auto &done) {
    platform.readRows(table(), "history/", MaxHistory, done);
  });
  if (rows.result != StoreResult::Ok)
    return unavailable("reading the history");
  std::vector<ConfigurationHead> heads;
  for (const Row &row : rows.rows) {
    auto head = ConfigurationHead::fromJson(row.value);
    if (!head)
      return std::move(head).error();
    heads.push_back(std::move(head).value());
  }
  std::ranges::sort(heads, {}, &ConfigurationHead::version);
  return heads;
}

ChangeResult ConfigurationStore::change(const ChangeOrder &order) {
  ChangeResult result;
  const auto current = read();
  if (!current) {
    result.reason = toString(current.error());
    return result;
  }
  const Configuration &before = *current.value().configuration;
  if (order.versionAtNodes > before.head().version)
    return failed(ChangeResult::Kind::NotAccepted, before.head(),
                  "refused: nodes hold version " +
                      std::to_string(order.versionAtNodes) +
                      " and the store only version " +
                      std::to_string(before.head().version) +
                      "; the store was set back, wait until the nodes have "
                      "repaired it");
  if (order.expectedVersion && *order.expectedVersion != before.head().version)
    return lost(before.head());
  std::string text = order.edit(before);
  if (text == before.text()) {
    result.kind = ChangeResult::Kind::Unchanged;
    result.head = before.head();
    return result;
  }
  const ConfigurationHead head{
      before.head().version + 1, digestOf(text), makeApplyId(), order.author,
      order.description,         wallMs()};
  if (auto built = Configuration::build(head, text); !built) {
    result.kind = ChangeResult::Kind::Invalid;
    result.findings = std::move(built).error();
    return result;
  }
  const StoreResult written = await<StoreResult>([&](const auto &done) {
    platform.writeObject(configurationObjectName(cluster, head.digest), text,
                         done);
  });
  if (written != StoreResult::Ok) {
    result.reason = toString(unavailable("writing the text"));
    return result;
  }
  result = swap(current.value(), head) == StoreResult::Ok
               ? accepted(head)
               : resolve(current.value(), head);
  result.text = std::move(text);
  return result;
}

StoreResult ConfigurationStore::swap(const StoredConfiguration &from,
                                     const ConfigurationHead &head) {
  Transaction transaction;
  transaction.checks.push_back({HeadRowKey, from.etag});
  transaction.checks.push_back({historyRowKey(head.version), std::nullopt});
  transaction.puts.emplace_back(HeadRowKey, head.toJson());
  transaction.puts.emplace_back(historyRowKey(head.version), head.toJson());
  return await<TransactionResult>([&](const auto &done) {
           platform.commit(table(), transaction, done);
         })
      .result;
}

ChangeResult ConfigurationStore::resolve(const StoredConfiguration &from,
                                         const ConfigurationHead &head) {
  const TimePoint giveUpAt = std::chrono::steady_clock::now() + ResolveTime;
  while (std::chrono::steady_clock::now() < giveUpAt) {
    const RowResult history = await<RowResult>([&](const auto &done) {
      platform.readRow(table(), historyRowKey(head.version), done);
    });
    if (history.result == StoreResult::Ok) {
      const auto winner = ConfigurationHead::fromJson(history.row.value);
      if (winner && winner.value().applyId == head.applyId)
        return accepted(head);
      if (winner)
        return lost(winner.value());
    }
    if (history.result == StoreResult::Absent) {
      // The swap may be on its way still. Changing the row that it checks makes
      // certain that it fails, whenever it arrives.
      const RowResult row = readHeadRow();
      const bool isUnmoved =
          row.result == StoreResult::Absent
              ? !from.etag
              : row.result == StoreResult::Ok && from.etag == row.row.etag;
      if (isUnmoved && fence(row, head))
        return failed(
            ChangeResult::Kind::NotAccepted, head,
            "the store did not carry out the change; nothing was changed");
      if (row.result == StoreResult::Ok && !isUnmoved) {
        const auto other = ConfigurationHead::fromJson(row.row.value);
        if (other && other.value().version < head.version)
          return failed(ChangeResult::Kind::NotAccepted, head,
                        "another command was at work on the head row; nothing "
                        "was changed");
      }
    }
    pause(ResolveInterval);
  }
  return failed(ChangeResult::Kind::Unknown, head,
                "the store does not answer, and whether the change was "
                "accepted is not known; look for apply " +
                    head.applyId + " in 'history' when it answers again");
}

bool ConfigurationStore::fence(const RowResult &row,
                               const ConfigurationHead &unwanted) {
  nlohmann::json value =
      row.result == StoreResult::Ok
          ? nlohmann::json::parse(row.row.value, nullptr, false)
          : nlohmann::json::parse(Configuration::makeEmpty()->head().toJson());
  if (!value.is_object())
    return false;
  value["fencedApplyId"] = unwanted.applyId;
  Transaction transaction;
  transaction.checks.push_back({HeadRowKey, row.result == StoreResult::Ok
                                                ? std::optional(row.row.etag)
                                                : std::nullopt});
  transaction.checks.push_back({historyRowKey(unwanted.version), std::nullopt});
  transaction.puts.emplace_back(HeadRowKey, encodeJson(value));
  const auto result = await<TransactionResult>(
      [&](const auto &done) { platform.commit(table(), transaction, done); });
  return result.result == StoreResult::Ok;
}

} // namespace plantainhatch
