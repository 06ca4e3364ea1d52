/** \file
 * Keeps this node's configuration at the newest accepted version. */
#ifndef PLANTAINHATCH_NODE_CONFIGURATIONTASK_H
#define PLANTAINHATCH_NODE_CONFIGURATIONTASK_H

#include "connection/Timer.h"
#include "node/NodeServices.h"
#include "node/PeerTask.h"
#include "process/ConfigurationReplica.h"
#include "process/FreshnessGuard.h"

#include <functional>
#include <string>
#include <vector>

namespace plantainhatch {

/** Reads the head row if this node is a reader of its failure domain or hears
 * no peer, and pulls from peers that have a newer version. */
class ConfigurationTask {
public:
  static constexpr std::chrono::milliseconds PollInterval{1'000};
  /** Nodes of each failure domain that read the store, so that reads do not
   * grow with the fleet. */
  static constexpr std::size_t ReadersPerDomain = 2;
  /** The longest a failing store is left alone between two reads. */
  static constexpr std::chrono::seconds MaxBackoff{8};

  using AdoptedListener = std::function<void(const ConfigurationPtr &before)>;

  /** \param builder reads the texts of versions. */
  ConfigurationTask(NodeServices &services, PeerTask &peers,
                    ConfigurationReplica::Builder builder);

  /** Reads the store for the first time, and goes on. */
  void start();

  /** Calls \p listener after each adoption. */
  void addAdoptionListener(AdoptedListener listener) {
    listeners.push_back(std::move(listener));
  }

  /** A peer has said that it has this version. */
  void onPeerVersion(const Address &peer, std::uint64_t version);
  /** Something else than the head row tells of versions: the head row is not
   * read, and \p confirm is called when this node cannot trust its version. */
  void startWithExternalSource(std::function<void()> confirm);
  /** The version in force is the newest, as asked at \p askedAt. */
  void onConfirmed(TimePoint askedAt) { guard.onConfirmed(askedAt); }
  /** An operator's command has had this version accepted. */
  void onOffered(const ConfigurationOffer &offer);
  /** What a peer needs. */
  ConfigurationReply answer(const ConfigurationRequest &request) const;

  const ConfigurationPtr &current() const { return replica.current(); }
  const ConfigurationReplica &configurations() const { return replica; }
  /** Pauses of this process, and whether it may trust its configuration. */
  FreshnessGuard &freshness() { return guard; }
  bool isStoreUp() const { return storeUp; }
  /** The platform has answered, or has not; \p cause says what was asked. */
  void setStoreUp(bool isUp, const std::string &cause);

private:
  NodeServices &services;
  PeerTask &peers;
  ConfigurationReplica replica;
  FreshnessGuard guard;
  std::vector<AdoptedListener> listeners;
  Timer pollTimer;
  Timer tickTimer;
  std::chrono::milliseconds backoff{0};
  TimePoint notBefore;
  std::function<void()> requestConfirmation;
  bool isReading = false;
  bool isPulling = false;
  bool storeUp = true;

  void tick();
  void poll();
  void confirmAfterPause();
  void readHead();
  void onHead(const RowResult &row, TimePoint askedAt);
  void readText(const ConfigurationHead &head);
  void repairHead(const std::string &storedEtag);
  void pull(const Address &peer);
  void finishAdoption(AdoptResult result, const ConfigurationPtr &before,
                      const std::string &source);
  void recordMoves(const ConfigurationPtr &before);
};

/** Name of the head row. */
inline constexpr const char *HeadRowKey = "head";
/** Name of the table of configurations, without the cluster. */
inline constexpr const char *ConfigurationTable = "config";

/** The row that keeps one accepted version's head. */
std::string historyRowKey(std::uint64_t version);
/** The object that holds the text with this digest. */
std::string configurationObjectName(const std::string &cluster,
                                    const std::string &digest);

} // namespace plantainhatch

#endif
