/** \file
 * Keeps this node's configuration at the newest accepted version. */
#ifndef PLANTAINHATCH_NODE_CONFIGURATIONTASK_H
#define PLANTAINHATCH_NODE_CONFIGURATIONTASK_H

#include "connection/Timer.h"
#include "node/FreshnessCheck.h"
#include "node/NodeServices.h"
#include "node/PeerTask.h"
#include "node/RuleLookup.h"
#include "node/VersionProofs.h"
#include "process/ConfigurationReplica.h"
#include "process/FreshnessGuard.h"
#include "process/HeardVersions.h"
#include "process/VersionHistory.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantainhatch {

/** Polls the head row, which names the newest accepted version, and pulls newer
 * versions from peers. Only ReadersPerDomain selected nodes of each failure
 * domain poll, besides nodes that are isolated or have no version yet. Use on
 * the main loop only. */
class ConfigurationTask {
public:
  static constexpr std::chrono::milliseconds PollInterval{1'000};
  /** Nodes per failure domain that poll the head row, so that the read rate
   * does not grow with the fleet. */
  static constexpr std::size_t ReadersPerDomain = 2;
  /** Upper bound of the backoff between polls while the store fails. */
  static constexpr std::chrono::seconds MaxBackoff{8};
  /** Peers that may be asked for a version at the same time, as one may have
   * fallen silent. */
  static constexpr std::size_t MaxPulls = 3;
  /** How long one peer has before another one is asked as well. */
  static constexpr std::chrono::milliseconds PullHedgeDelay{200};
  /** A compressed update that is longer is not taken from a peer while the
   * external source answers, as the links between nodes are slower than those
   * to the source. */
  static constexpr std::size_t MaxUpdateBytes = 256UL * 1024;
  /** Text of an update before compression. A longer one is not sent. */
  static constexpr std::size_t MaxUpdateTextBytes = 2UL * 1024 * 1024;
  /** A peer that ends the connection sooner does not know the request. */
  static constexpr std::chrono::milliseconds UnknownRequestTime{500};
  /** Least time between two requests to the external source for updates that
   * peers have found too long. On a slow link, an earlier one may take as long.
   */
  static constexpr std::chrono::milliseconds LongUpdateInterval{1'500};
  /** Least time between two questions that renew the proof for keys. */
  static constexpr std::chrono::milliseconds KeyProofAskInterval{250};
  /** The same while neither the source nor another node answers. */
  static constexpr std::chrono::milliseconds KeyProofRetryInterval{500};

  /** How long a newer version is asked for at the external source alone, after
   * the store has come back from a copy; see mustReadSource(). */
  static constexpr std::chrono::milliseconds SourceGrace{1'000};
  /** Least time between two such requests. */
  static constexpr std::chrono::milliseconds SourceAskInterval{100};

  /** Called with the configuration that was in force before the adoption. */
  using AdoptedListener = std::function<void(const ConfigurationPtr &before)>;

  /** \param builder parses the texts of versions. */
  ConfigurationTask(NodeServices &services, PeerTask &peers,
                    ConfigurationReplica::Builder builder);

  /** Reads the head row and starts to poll it. */
  void start();

  /** Adds a listener that is called after each adoption of a version. */
  void addAdoptionListener(AdoptedListener listener) {
    listeners.push_back(std::move(listener));
  }

  /** Pulls the configuration from \p peer if it has reported a newer version,
   * and bounds from then on how long the present one is used. */
  void onPeerVersion(const Address &peer, std::uint64_t version);
  /** Another source of versions than the head row. */
  struct ExternalSource {
    /** Asks for the changes that a pause of this process may have missed. */
    std::function<void()> refresh;
    /** Asks for the newest version, which must lead to onConfirmed() or
     * onNotConfirmed(). Returns false if it cannot ask. */
    std::function<bool()> confirm;
  };
  /** Starts without polling the head row, for a node that receives versions
   * through onOffered() from \p source. */
  void startWithExternalSource(ExternalSource source);
  /** Called when a request sent at \p askedAt has shown that no version after
   * \p version has been accepted. Has no effect if the process was paused since
   * then, or if a later version is in force, as the answer is from the past. */
  void onConfirmed(TimePoint askedAt, std::uint64_t version);
  /** Called when the source has not answered a request to confirm. */
  void onNotConfirmed();
  /** Calls \p done, at once or within FreshnessCheck::TimeLimit, with whether
   * the version in force is known to be the newest. A later version may have
   * been adopted when it is called. */
  void whenNewest(FreshnessCheck::Done done);
  /** Adopts a version that the store has accepted, if it is newer than the one
   * in force. */
  void onOffered(const ConfigurationOffer &offer);
  /** The same for a version that \p source has built. */
  void onBuilt(const ConfigurationPtr &built, const std::string &source);
  /** True if this node should wait at the external source for changes, which
   * are large, so that few nodes do: \p readers of each failure domain, and
   * those that do not reach some of the others. The rest hear of changes, and
   * of the first version, from them. */
  bool mustFollowSource(std::size_t readers) const;
  /** Handles a question for the newest version, or the answer to one; ignores
   * other messages. */
  void onMessage(const Message &message);
  /** Returns the update that a peer needs, if any. The reply is another one if
   * this node cannot tell whether the peer needs one. */
  BulkReplyBody answer(const ConfigurationRequest &request);
  /** The same with a compressed update. */
  BulkReplyBody answer(const CompactConfigurationRequest &request);

  /** True if this node has heard too long ago of a newer version than the one
   * in force, so that no call may be run by that. */
  bool isOutdated() const { return heard.isOutdated(NodeServices::now()); }
  /** True if a call that its ingress runs by \p version would be run by a
   * version that is known here to be too old. */
  bool isTooOld(std::uint64_t version) const;
  /** Finds the rule for a call at a node that has a newer version. \p done is
   * called once, with nothing if there is no such rule, or no node answers.
   * \pre isOutdated() */
  void lookUpRule(const std::string &host, const std::string &path,
                  const std::string &keyDigest, RuleLookup::Done done);
  /** True if a team's key that the version in force holds may be used now: its
   * revocation would be known, as the settings bound the time for that. Sees to
   * it that this stays so, as long as the store or another node answers. */
  bool isProvedForKeys();
  /** The same for a version that was the newest at \p provedAt. */
  bool isProofForKeys(const std::optional<TimePoint> &provedAt);
  /** A gate has refused a call as its version was too old: asks \p peer, where
   * the gate is, for a newer one. */
  void onOutdatedAt(const Address &peer);
  /** What other nodes have in force and this one does not. */
  const HeardVersions &heardVersions() const { return heard; }

  /** True while a version is on its way from another node. */
  bool isPulling() const { return !pulls.empty(); }
  /** True if another node has answered, or one that was asked has not. */
  bool isPeerStateKnown() const {
    return nodeCount() > 1 || peers.hasExchangeFailed();
  }

  const ConfigurationPtr &current() const { return replica.current(); }
  const ConfigurationReplica &configurations() const { return replica; }
  /** True if this process was paused, and its configuration may be stale. */
  bool isStale();
  /** How long ago the version in force was known to be the newest. */
  const FreshnessGuard &freshness() const { return guard; }
  bool isStoreUp() const { return storeUp; }
  /** Nodes of the fleet that this node knows to be present, itself included. */
  std::size_t nodeCount() const { return peers.membership().presentCount(); }
  /** Sets whether the store answers, and records an event if that has changed.
   * \param cause names the request that showed the change. */
  void setStoreUp(bool isUp, const std::string &cause);

private:
  NodeServices &services;
  PeerTask &peers;
  ConfigurationReplica replica;
  FreshnessGuard guard;
  FreshnessCheck check;
  VersionProofs proofs;
  HeardVersions heard;
  VersionHistory history;
  RuleLookup lookup;
  /** A proof that names a later version than the one in force, which has been
   * requested. */
  std::optional<VersionProofs::Result> awaitedProof;
  /** The check is for another node, so that no third one is asked. */
  bool isCheckForPeer = false;
  /** The same for the question that is open at the source. */
  bool isQuestionForPeer = false;
  std::vector<AdoptedListener> listeners;
  Timer pollTimer;
  Timer tickTimer;
  std::chrono::milliseconds backoff{0};
  TimePoint notBefore;
  ExternalSource externalSource;
  bool isReading = false;
  /** Peers that have been asked for a version and have not replied. */
  std::set<Address> pulls;
  TimePoint lastPullAt;
  /** The latest compressed update, as several peers ask for the same one. */
  struct EncodedUpdate {
    std::uint64_t from = 0;
    std::string digest;
    std::uint64_t to = 0;
    std::string bytes;
  };
  EncodedUpdate encoded;
  TimePoint lastLongUpdateAt;
  /** When the store was first seen in a newer era than the version in force. */
  std::optional<TimePoint> eraRoseAt;
  TimePoint lastSourceAskAt;
  TimePoint lastKeyProofAskAt;
  /** The external source has not answered the latest request to confirm. */
  bool isSourceFailing = false;
  bool storeUp = true;

  void tick();
  void renewKeyProof(TimePoint now);
  void detectPause();
  bool askForNewest();
  void onVersionQuery(const Address &sender, const VersionQuery &query);
  void onProof(const std::optional<VersionProofs::Result> &proof);
  void confirm(TimePoint askedAt);
  void poll();
  void confirmAfterPause();
  void readHead();
  void onHead(const RowResult &row, TimePoint askedAt);
  void readText(const ConfigurationHead &head);
  void repairHead(const std::string &storedEtag);
  /** Whether an update may be longer than MaxUpdateBytes, or must be plain, for
   * a peer that knows no compressed ones. */
  enum class UpdateKind : std::uint8_t { Short, Any, Plain };
  void pull(const Address &peer, UpdateKind kind = UpdateKind::Short);
  /** The store has come back from a copy. */
  void onEraRose();
  /** True if newer versions are taken from the external source and not from
   * peers, as a node that has started since may have read no more than what the
   * copy had. Ends with VersionHistory::EraGrace, or for a version that has not
   * come in SourceGrace. */
  bool mustReadSource() const;
  /** Whether another peer may be asked now. */
  bool mayPull() const;
  /** Asks a node that has the newest version that was heard of. */
  void pullNewest();
  BulkRequestBody makeRequest(UpdateKind kind) const;
  std::optional<ConfigurationUpdate>
  decodeUpdate(const std::string &bytes) const;
  /** \return false if the reply holds nothing about the configuration. */
  bool takeReply(const Address &peer, const BulkReplyBody &body,
                 TimePoint askedAt);
  void onRuleQuery(const Address &sender, const RuleQuery &query);
  /** Asks for an update that \p peer has found too long: the external source,
   * or \p peer again if that does not answer. */
  void requestLongUpdate(const Address &peer);
  /** Asks the external source, at most once in LongUpdateInterval.
   * \return false if it does not answer; nothing if it was asked lately. */
  std::optional<bool> askSource();
  void finishAdoption(AdoptResult result, const ConfigurationPtr &before,
                      const std::string &source);
  void recordMoves(const ConfigurationPtr &before);
};

/** Key of the head row, which holds the head of the newest accepted version. */
inline constexpr const char *HeadRowKey = "head";
/** Name of the configuration table; see NodeServices::tableName(). */
inline constexpr const char *ConfigurationTable = "config";

/** Key of the row that holds the head of an accepted version. The number is
 * zero-padded, so that keys sort by version. */
std::string historyRowKey(std::uint64_t version);
/** Name of the object that holds the configuration text with this digest. */
std::string configurationObjectName(const std::string &cluster,
                                    const std::string &digest);

} // namespace plantainhatch

#endif
