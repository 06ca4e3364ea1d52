#include "node/ConfigurationTask.h"

#include "base/Compression.h"
#include "base/SuspensionWatch.h"
#include "process/ProofAge.h"
#include "process/Rendezvous.h"
#include "version/RuleRecord.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace plantainhatch {

namespace {

constexpr std::chrono::milliseconds FreshnessCheckInterval{100};
constexpr std::chrono::milliseconds InitialBackoff{500};
constexpr int VersionDigits = 12;
/** A longer update is not sent to a node that takes no compressed ones. */
constexpr std::size_t MaxPlainUpdateBytes = 32UL * 1024;
/** Names the selection of the nodes that wait at the external source. */
constexpr const char *FollowSource = "follow-source";

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
             [this](const auto &proof) { onProof(proof); }),
      lookup(services, peers) {
  services.storeClient.addEraListener([this] { onEraRose(); });
}

void ConfigurationTask::onEraRose() {
  const bool isRise = replica.version() > 0 &&
                      eraOf(replica.version()) < services.storeClient.era();
  if (isRise)
    eraRoseAt = NodeServices::now();
}

bool ConfigurationTask::mustReadSource() const {
  const TimePoint now = NodeServices::now();
  return externalSource.confirm && eraRoseAt &&
         now - *eraRoseAt < VersionHistory::EraGrace && heard.newest() > 0 &&
         heard.lag(now) < SourceGrace;
}

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
  heard.onConfirmed(askedAt);
  guard.onConfirmed(askedAt, FreshnessGuard::Source::Store);
  check.onConfirmed();
}

void ConfigurationTask::onNotConfirmed() {
  isSourceFailing = true;
  // The source may turn away this node alone.
  if (isQuestionForPeer || !proofs.askElsewhere())
    check.onNotConfirmed();
}

void ConfigurationTask::whenNewest(FreshnessCheck::Done done) {
  detectPause();
  check.run(NodeServices::now(), nodeCount(), storeUp, std::move(done));
}

bool ConfigurationTask::askForNewest() {
  if (externalSource.confirm) {
    isQuestionForPeer = isCheckForPeer;
    return (!isCheckForPeer && proofs.ask()) || externalSource.confirm();
  }
  readHead();
  return true;
}

void ConfigurationTask::onMessage(const Message &message) {
  if (const auto *const query = std::get_if<VersionQuery>(&message.body))
    onVersionQuery(message.header.sender, *query);
  else if (const auto *const proof = std::get_if<VersionProof>(&message.body))
    proofs.onAnswer(message.header.sender, *proof);
  else if (const auto *const rule = std::get_if<RuleQuery>(&message.body))
    onRuleQuery(message.header.sender, *rule);
  else if (const auto *const answer = std::get_if<RuleAnswer>(&message.body))
    lookup.onAnswer(message.header.sender, *answer);
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
              peers.sendWithoutUpdates(
                  sender, VersionProof{nonce, replica.version(),
                                       proofAge::toMessage(
                                           *confirmedAt, NodeServices::now())});
            });
  isCheckForPeer = false;
}

void ConfigurationTask::onProof(
    const std::optional<VersionProofs::Result> &proof) {
  if (!proof || proof->version < replica.version()) {
    if (proofs.hasAskedElsewhere() || !externalSource.confirm())
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
  guard.onTick(NodeServices::now(), readSuspendedTime());
}

void ConfigurationTask::tick() {
  detectPause();
  if (guard.takePauseDetected())
    confirmAfterPause();
  pullNewest();
  if (heard.lag(NodeServices::now()) >= LongUpdateInterval)
    askSource();
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
  if (version <= replica.version())
    return;
  const bool isNew = heard.onHeard(version, peer, NodeServices::now());
  if (isNew)
    services.logDecision(DecisionKind::StateChange,
                         {{"event", "newer-version-heard"},
                          {"version", version},
                          {"inForce", replica.version()},
                          {"from", peer.toString()}});
  // The version in force shows that the store has reached its era.
  if (externalSource.confirm)
    services.storeClient.onEra(eraOf(version));
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

bool ConfigurationTask::mayPull() const {
  return pulls.empty() || (pulls.size() < MaxPulls &&
                           NodeServices::now() - lastPullAt >= PullHedgeDelay);
}

void ConfigurationTask::pullNewest() {
  const auto holders = heard.holders();
  const auto it = std::ranges::find_if(
      holders, [this](const Address &peer) { return !pulls.contains(peer); });
  const bool isDue = NodeServices::now() - lastPullAt >= PullHedgeDelay;
  if (it != holders.end() && isDue)
    pull(*it);
}

BulkRequestBody ConfigurationTask::makeRequest(UpdateKind kind) const {
  const std::string &digest = replica.current()->head().digest;
  if (kind == UpdateKind::Plain)
    return ConfigurationRequest{replica.version(), digest};
  // Without a digest, the peer sends the whole text, however long it is.
  return CompactConfigurationRequest{
      replica.version(), kind == UpdateKind::Any ? std::string() : digest};
}

void ConfigurationTask::pull(const Address &peer, UpdateKind kind) {
  if (mustReadSource()) {
    const TimePoint now = NodeServices::now();
    if (now - lastSourceAskAt >= SourceAskInterval) {
      lastSourceAskAt = now;
      externalSource.confirm();
    }
    return;
  }
  if (!mayPull() || !pulls.insert(peer).second)
    return;
  const TimePoint askedAt = NodeServices::now();
  lastPullAt = askedAt;
  peers.request(
      peer, makeRequest(kind),
      [this, peer, kind, askedAt](const std::optional<BulkReplyBody> &body) {
        pulls.erase(peer);
        if (body) {
          if (!takeReply(peer, *body, askedAt) && kind != UpdateKind::Any)
            requestLongUpdate(peer);
          return;
        }
        services.metrics.add("configuration_pulls_failed_total");
        if (kind == UpdateKind::Short &&
            NodeServices::now() - askedAt < UnknownRequestTime)
          pull(peer, UpdateKind::Plain);
      });
}

bool ConfigurationTask::takeReply(const Address &peer,
                                  const BulkReplyBody &body,
                                  TimePoint askedAt) {
  const auto *const plain = std::get_if<ConfigurationReply>(&body);
  const auto *const compact = std::get_if<CompactConfigurationReply>(&body);
  if (plain == nullptr && compact == nullptr)
    return false;
  guard.onConfirmed(askedAt, FreshnessGuard::Source::Peer);
  std::optional<ConfigurationUpdate> update;
  std::size_t bytes = 0;
  if (plain != nullptr && plain->update) {
    update = plain->update;
    bytes = plain->update->textSize();
  } else if (compact != nullptr && compact->update) {
    update = decodeUpdate(*compact->update);
    bytes = compact->update->size();
  }
  if (!update)
    return true;
  services.logDecision(DecisionKind::StateChange,
                       {{"event", "update-received"},
                        {"from", peer.toString()},
                        {"bytes", bytes},
                        {"ms", std::chrono::floor<std::chrono::milliseconds>(
                                   NodeServices::now() - askedAt)
                                   .count()}});
  const ConfigurationPtr before = replica.current();
  const AdoptResult result = replica.adopt(*update);
  finishAdoption(result, before, "node " + peer.toString());
  return true;
}

std::optional<ConfigurationUpdate>
ConfigurationTask::decodeUpdate(const std::string &bytes) const {
  const auto text = decompress(bytes, 2 * MaxUpdateTextBytes);
  return text ? services.codec.decode<ConfigurationUpdate>(*text)
              : std::nullopt;
}

std::optional<bool> ConfigurationTask::askSource() {
  const TimePoint now = NodeServices::now();
  if (!externalSource.confirm || now - lastLongUpdateAt < LongUpdateInterval)
    return std::nullopt;
  lastLongUpdateAt = now;
  return storeUp && !isSourceFailing && externalSource.confirm();
}

void ConfigurationTask::requestLongUpdate(const Address &peer) {
  if (askSource() == false)
    pull(peer, UpdateKind::Any);
}

void ConfigurationTask::onOutdatedAt(const Address &peer) { pull(peer); }

bool ConfigurationTask::isTooOld(std::uint64_t version) const {
  const TimePoint now = NodeServices::now();
  const auto supersededAt = history.supersededAt(version);
  return (supersededAt && now - *supersededAt >= HeardVersions::MaxLag) ||
         (heard.isOutdated(now) && version < heard.newest());
}

void ConfigurationTask::lookUpRule(const std::string &host,
                                   const std::string &path,
                                   const std::string &keyDigest,
                                   RuleLookup::Done done) {
  // Only the records of an external source hold a rule whole.
  if (!externalSource.confirm) {
    done(std::nullopt);
    return;
  }
  lookup.find(
      {host, path, keyDigest, heard.newest()}, heard.holders(),
      [this, done = std::move(done)](std::optional<RuleLookup::Result> result) {
        if (result)
          heard.onUsed(result->version);
        done(std::move(result));
      });
}

void ConfigurationTask::onRuleQuery(const Address &sender,
                                    const RuleQuery &query) {
  if (query.leastVersion > replica.version() || isOutdated() || isStale())
    return;
  const ServiceRule *const rule =
      replica.current()->findService(query.host, query.path);
  RuleAnswer answer;
  answer.nonce = query.nonce;
  answer.version = replica.version();
  if (rule != nullptr)
    answer.record = encodeRecord(*rule);
  const TeamRule *const team =
      rule != nullptr && rule->needsTeamKey
          ? replica.current()->findTeam(query.keyDigest)
          : nullptr;
  if (team != nullptr)
    answer.teamRecord = encodeRecord(*team);
  if (const auto confirmedAt = guard.confirmedAt())
    answer.proofAgeMs = proofAge::toMessage(*confirmedAt, NodeServices::now());
  if (answer.record.size() + answer.teamRecord.size() <=
      RuleLookup::MaxQueryBytes)
    peers.sendWithoutUpdates(sender, std::move(answer));
}

bool ConfigurationTask::isProofForKeys(
    const std::optional<TimePoint> &provedAt) {
  const auto &bound = services.settings.keyRevocation;
  return !bound ||
         proofAge::isYoungForKeys(provedAt, NodeServices::now(), *bound);
}

bool ConfigurationTask::isProvedForKeys() {
  if (!services.settings.keyRevocation)
    return true;
  detectPause();
  renewKeyProof(NodeServices::now());
  return isProofForKeys(guard.confirmedAt());
}

void ConfigurationTask::renewKeyProof(TimePoint now) {
  const auto interval =
      isSourceFailing ? KeyProofRetryInterval : KeyProofAskInterval;
  const auto revocation = services.settings.keyRevocation;
  if (!revocation)
    return;
  const auto bound = *revocation;
  const bool isDue = proofAge::isDueForKeys(guard.confirmedAt(), now, bound);
  if (!isDue || now - lastKeyProofAskAt < interval)
    return;
  lastKeyProofAskAt = now;
  check.run(now, nodeCount(), true, [](bool /*isNewest*/) {});
  // An earlier question is still open, at a source that may be silent.
  const bool isOverdue =
      proofAge::isOverdueForKeys(guard.confirmedAt(), now, bound);
  if (isOverdue && externalSource.confirm)
    proofs.askElsewhere();
}

BulkReplyBody ConfigurationTask::answer(const ConfigurationRequest &request) {
  // The peer would take a reply without an update for a confirmation.
  const bool isConfirming = request.version == replica.version();
  if (isStale() || request.version > replica.version() ||
      (isConfirming && isOutdated()))
    return PushReply{};
  auto update = replica.updateFor(request.version, request.digest);
  const bool mayDecline = externalSource.confirm && !request.digest.empty();
  if (mayDecline && update && update->textSize() > MaxPlainUpdateBytes)
    return PushReply{};
  return ConfigurationReply{std::move(update)};
}

BulkReplyBody
ConfigurationTask::answer(const CompactConfigurationRequest &request) {
  const bool isConfirming = request.version == replica.version();
  if (isStale() || request.version > replica.version() ||
      (isConfirming && isOutdated()))
    return PushReply{};
  const bool isKnown = encoded.from == request.version &&
                       encoded.digest == request.digest &&
                       encoded.to == replica.version();
  if (!isKnown) {
    const auto update = replica.updateFor(request.version, request.digest);
    if (!update)
      return CompactConfigurationReply{};
    if (update->textSize() > MaxUpdateTextBytes)
      return PushReply{};
    encoded = {request.version, request.digest, replica.version(),
               compress(services.codec.encode(*update))};
  }
  const bool mayDecline = externalSource.confirm && !request.digest.empty();
  if (mayDecline && encoded.bytes.size() > MaxUpdateBytes)
    return PushReply{};
  return CompactConfigurationReply{encoded.bytes};
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
  const TimePoint now = NodeServices::now();
  const Duration lag = heard.lag(now);
  history.onAdopted(head.version, now, head.digest == before->head().digest);
  heard.onInForce(head.version);
  services.metrics.latency("configuration_lag_seconds").record(lag);
  peers.setConfigurationVersion(head.version);
  services.metrics.set("configuration_version",
                       static_cast<double>(head.version));
  services.record(
      EventKind::ConfigurationAdopted, std::to_string(head.version),
      head.change,
      "asked by " + head.author + ", apply " + head.applyId + ", from " +
          source + ", heard of " +
          std::to_string(
              std::chrono::floor<std::chrono::milliseconds>(lag).count()) +
          " ms ago");
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
