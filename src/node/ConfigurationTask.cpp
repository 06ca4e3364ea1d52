#include "node/ConfigurationTask.h"

#include "process/Rendezvous.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace plantainhatch {

namespace {

constexpr std::chrono::milliseconds FreshnessCheckInterval{100};
constexpr std::chrono::milliseconds InitialBackoff{500};
constexpr int VersionDigits = 12;
/** Names the selection of the nodes that wait at the external source. */
constexpr const char *FollowSource = "follow-source";

Duration readClock(clockid_t id) {
  timespec time{};
  clock_gettime(id, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

/** The time since the start of the VM that the steady clock has not counted. */
Duration suspendedTime() {
  return readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC);
}

} // namespace

std::string historyRowKey(std::uint64_t version) {
  std::ostringstream name;
  name << "history/" << std::setw(VersionDigits) << std::setfill('0')
       << version;
  return name.str();
}

std::string configurationObjectName(const std::string &cluster,
                                    const std::string &digest) {
  return cluster + "-config-" + digest;
}

ConfigurationTask::ConfigurationTask(NodeServices &services, PeerTask &peers,
                                     ConfigurationReplica::Builder builder)
    : services(services), peers(peers), replica(std::move(builder)),
      check(guard, [this] { return askForNewest(); }),
      proofs(services, peers, FollowSource,
             [this](const auto &proof) { onProof(proof); }) {}

void ConfigurationTask::startWithExternalSource(ExternalSource source) {
  externalSource = std::move(source);
  tickTimer.startRepeating(FreshnessCheckInterval, [this] { tick(); });
}

void ConfigurationTask::start() {
  tickTimer.startRepeating(FreshnessCheckInterval, [this] { tick(); });
  pollTimer.startRepeating(PollInterval, [this] { poll(); });
  readHead();
}

void ConfigurationTask::onConfirmed(TimePoint askedAt, std::uint64_t version) {
  isSourceFailing = false;
  if (version < replica.version())
    check.onNotConfirmed();
  else
    confirm(askedAt);
}

void ConfigurationTask::confirm(TimePoint askedAt) {
  guard.onConfirmed(askedAt, FreshnessGuard::Source::Store);
  check.onConfirmed();
}

void ConfigurationTask::whenNewest(FreshnessCheck::Done done) {
  detectPause();
  check.run(NodeServices::now(), nodeCount(), storeUp, std::move(done));
}

bool ConfigurationTask::askForNewest() {
  if (externalSource.confirm)
    return (!isCheckForPeer && proofs.ask()) || externalSource.confirm();
  readHead();
  return true;
}

void ConfigurationTask::onMessage(const Message &message) {
  if (const auto *const query = std::get_if<VersionQuery>(&message.body))
    onVersionQuery(message.header.sender, *query);
  else if (const auto *const proof = std::get_if<VersionProof>(&message.body))
    proofs.onAnswer(message.header.sender, *proof);
}

void ConfigurationTask::onVersionQuery(const Address &sender,
                                       const VersionQuery &query) {
  // A confirmation from before a pause proves nothing.
  detectPause();
  isCheckForPeer = true;
  check.run(NodeServices::now(), nodeCount(), storeUp,
            [this, sender, nonce = query.nonce](bool isNewest) {
              const auto confirmedAt = guard.confirmedAt();
              if (!isNewest || !confirmedAt)
                return;
              const auto age = std::chrono::ceil<std::chrono::milliseconds>(
                  NodeServices::now() - *confirmedAt);
              peers.sendWithoutUpdates(
                  sender,
                  VersionProof{nonce, replica.version(),
                               static_cast<std::uint32_t>(age.count())});
            });
  isCheckForPeer = false;
}

void ConfigurationTask::onProof(
    const std::optional<VersionProofs::Result> &proof) {
  if (!proof || proof->version < replica.version()) {
    if (!externalSource.confirm())
      check.onNotConfirmed();
    return;
  }
  if (proof->version == replica.version()) {
    confirm(proof->provedAt);
    return;
  }
  awaitedProof = proof;
  pull(proof->peer);
}

bool ConfigurationTask::isStale() {
  detectPause();
  return guard.isStale(NodeServices::now());
}

void ConfigurationTask::detectPause() {
  guard.onTick(NodeServices::now(), suspendedTime());
}

void ConfigurationTask::tick() {
  detectPause();
  if (guard.takePauseDetected())
    confirmAfterPause();
}

void ConfigurationTask::poll() {
  const ScopedControlCpuTimer scope(services.metrics);
  const TimePoint now = NodeServices::now();
  if (now < notBefore)
    return;
  const bool isReader =
      isSelectedFor(peers.membership(), "read-head", ReadersPerDomain);
  if (isReader || peers.membership().isIsolated(now) || replica.version() == 0)
    readHead();
}

void ConfigurationTask::confirmAfterPause() {
  if (externalSource.refresh)
    externalSource.refresh();
  else
    readHead();
  if (const auto peer = peers.pickRandomPeer())
    pull(*peer);
}

void ConfigurationTask::readHead() {
  if (isReading)
    return;
  isReading = true;
  const TimePoint askedAt = NodeServices::now();
  services.storeClient.readRow(
      services.tableName(ConfigurationTable), HeadRowKey,
      [this, askedAt](const RowResult &row) {
        const ScopedControlCpuTimer scope(services.metrics);
        isReading = false;
        onHead(row, askedAt);
      });
}

void ConfigurationTask::onHead(const RowResult &row, TimePoint askedAt) {
  setStoreUp(row.result != StoreResult::Unknown, "read of the head row");
  if (row.result == StoreResult::Unknown) {
    check.onNotConfirmed();
    backoff = std::min<std::chrono::milliseconds>(
        std::max(InitialBackoff, backoff * 2), MaxBackoff);
    std::uniform_int_distribution<std::int64_t> jitter(0, backoff.count());
    notBefore = NodeServices::now() +
                std::chrono::milliseconds(jitter(services.random));
    return;
  }
  backoff = std::chrono::milliseconds(0);
  if (row.result == StoreResult::Absent) {
    confirm(askedAt);
    if (replica.version() > 0)
      repairHead({});
    return;
  }
  const auto head = ConfigurationHead::fromJson(row.row.value);
  if (!head) {
    services.record(EventKind::ConfigurationConflict, "head",
                    "the head row cannot be parsed", toString(head.error()));
    return;
  }
  if (head.value().version > replica.version()) {
    readText(head.value());
    return;
  }
  confirm(askedAt);
  if (head.value().version < replica.version())
    repairHead(row.row.etag);
  else if (head.value().digest != replica.current()->head().digest)
    services.events.count(EventKind::ConfigurationConflict,
                          std::to_string(replica.version()),
                          "the store has a different text for this version");
}

void ConfigurationTask::readText(const ConfigurationHead &head) {
  const TimePoint askedAt = NodeServices::now();
  services.storeClient.readObject(
      configurationObjectName(services.settings.cluster, head.digest),
      [this, head, askedAt](const ObjectResult &object) {
        const ScopedControlCpuTimer scope(services.metrics);
        if (object.result != StoreResult::Ok) {
          check.onNotConfirmed();
          return;
        }
        const ConfigurationPtr before = replica.current();
        const AdoptResult result = replica.adopt(head, object.bytes);
        finishAdoption(result, before, "the store");
        if (replica.version() >= head.version)
          confirm(askedAt);
        else
          check.onNotConfirmed();
      });
}

void ConfigurationTask::repairHead(const std::string &storedEtag) {
  // Only the selected readers repair the head row. The transaction fails if
  // another writer has changed the row since it was read.
  if (!isSelectedFor(peers.membership(), "read-head", ReadersPerDomain))
    return;
  const ConfigurationPtr current = replica.current();
  const std::string object = configurationObjectName(services.settings.cluster,
                                                     current->head().digest);
  services.storeClient.writeObject(
      object, current->text(),
      [this, current, storedEtag](StoreResult written) {
        if (written != StoreResult::Ok)
          return;
        const std::string value = current->head().toJson();
        Transaction transaction;
        transaction.checks.push_back(
            {HeadRowKey,
             storedEtag.empty() ? std::nullopt : std::optional(storedEtag)});
        transaction.puts.emplace_back(HeadRowKey, value);
        transaction.puts.emplace_back(historyRowKey(current->head().version),
                                      value);
        services.storeClient.commit(
            services.tableName(ConfigurationTable), transaction,
            [this, current](const TransactionResult &result) {
              if (result.result == StoreResult::Ok)
                services.record(
                    EventKind::ConfigurationRepaired,
                    std::to_string(current->head().version),
                    "the store's head row was restored to this version",
                    "the store's head row was older or missing");
            });
      });
}

void ConfigurationTask::onPeerVersion(const Address &peer,
                                      std::uint64_t version) {
  if (version > replica.version())
    pull(peer);
}

void ConfigurationTask::onOffered(const ConfigurationOffer &offer) {
  const ConfigurationPtr before = replica.current();
  const AdoptResult result = replica.adopt(offer.head, offer.text);
  finishAdoption(result, before, "the operator's command");
}

void ConfigurationTask::onBuilt(const ConfigurationPtr &built,
                                const std::string &source) {
  const ConfigurationPtr before = replica.current();
  const AdoptResult result = replica.adopt(built);
  finishAdoption(result, before, source);
}

bool ConfigurationTask::mustFollowSource(std::size_t readers) const {
  return peers.membership().isInDoubt() ||
         peers.membership().isIsolated(NodeServices::now()) ||
         isSelectedFor(peers.membership(), FollowSource, readers);
}

void ConfigurationTask::pull(const Address &peer, UpdateSize size) {
  if (pulls.size() >= MaxPulls || !pulls.insert(peer).second)
    return;
  const TimePoint askedAt = NodeServices::now();
  // Without a digest, the peer sends the whole text, however long it is.
  const std::string digest = size == UpdateSize::Any
                                 ? std::string()
                                 : replica.current()->head().digest;
  peers.request(
      peer, ConfigurationRequest{replica.version(), digest},
      [this, peer, size, askedAt](const std::optional<BulkReplyBody> &body) {
        pulls.erase(peer);
        const auto *const reply =
            body ? std::get_if<ConfigurationReply>(&*body) : nullptr;
        if (body && reply == nullptr && size == UpdateSize::Short)
          requestLongUpdate(peer);
        if (reply == nullptr)
          return;
        guard.onConfirmed(askedAt, FreshnessGuard::Source::Peer);
        if (!reply->update)
          return;
        const ConfigurationPtr before = replica.current();
        const AdoptResult result = replica.adopt(*reply->update);
        finishAdoption(result, before, "node " + peer.toString());
      });
}

void ConfigurationTask::requestLongUpdate(const Address &peer) {
  const TimePoint now = NodeServices::now();
  if (!externalSource.confirm || now - lastLongUpdateAt < LongUpdateInterval)
    return;
  lastLongUpdateAt = now;
  if (!storeUp || isSourceFailing || !externalSource.confirm())
    pull(peer, UpdateSize::Any);
}

BulkReplyBody ConfigurationTask::answer(const ConfigurationRequest &request) {
  // The peer would take a reply without an update for a confirmation.
  if (isStale() || request.version > replica.version())
    return PushReply{};
  auto update = replica.updateFor(request.version, request.digest);
  const bool mayDecline = externalSource.confirm && !request.digest.empty();
  if (mayDecline && update && update->textSize() > MaxUpdateBytes)
    return PushReply{};
  return ConfigurationReply{std::move(update)};
}

void ConfigurationTask::setStoreUp(bool isUp, const std::string &cause) {
  if (isUp == storeUp)
    return;
  storeUp = isUp;
  services.record(isUp ? EventKind::StoreUp : EventKind::StoreDown,
                  services.settings.platform,
                  isUp ? "the platform answers again"
                       : "the platform does not answer",
                  cause);
}

void ConfigurationTask::finishAdoption(AdoptResult result,
                                       const ConfigurationPtr &before,
                                       const std::string &source) {
  if (result == AdoptResult::Invalid || result == AdoptResult::Conflict)
    services.events.count(
        EventKind::ConfigurationConflict, std::to_string(replica.version()),
        "an offered version is invalid or conflicts with this one, from " +
            source);
  // An update that fails at an invalid step may have adopted earlier steps, so
  // the result does not show whether the version has changed.
  if (replica.current() == before)
    return;
  const ConfigurationHead &head = replica.current()->head();
  peers.setConfigurationVersion(head.version);
  services.metrics.set("configuration_version",
                       static_cast<double>(head.version));
  services.record(EventKind::ConfigurationAdopted, std::to_string(head.version),
                  head.change,
                  "asked by " + head.author + ", apply " + head.applyId +
                      ", from " + source);
  recordMoves(before);
  for (const AdoptedListener &listener : listeners)
    listener(before);
  peers.gossipUpdates();
  const std::optional<VersionProofs::Result> proof = awaitedProof;
  if (proof && replica.version() >= proof->version) {
    awaitedProof.reset();
    confirm(proof->provedAt);
  }
}

void ConfigurationTask::recordMoves(const ConfigurationPtr &before) {
  const ConfigurationPtr &after = replica.current();
  const std::string version =
      "version " + std::to_string(after->head().version);
  for (const auto &[name, rule] : after->domainsOut())
    if (before->findDomainOut(name) == nullptr)
      services.record(EventKind::DomainOut, name, "receives no new work",
                      version + ", asked by " + rule.origin.author);
  for (const auto &[name, rule] : before->domainsOut())
    if (after->findDomainOut(name) == nullptr)
      services.record(EventKind::DomainIn, name, "receives work again",
                      version + ", asked by " + after->head().author);
  for (const auto &[address, rule] : after->vmsOut())
    if (!before->vmsOut().contains(address))
      services.record(EventKind::VmOut, address, "receives no new work",
                      version + ", asked by " + rule.origin.author);
  for (const auto &[address, rule] : before->vmsOut())
    if (!after->vmsOut().contains(address))
      services.record(EventKind::VmIn, address, "receives work again",
                      version + ", asked by " + after->head().author);
}

} // namespace plantainhatch
