/** \file
 * Exchanges messages with other nodes: membership and other short messages over
 * UDP, bulk requests over TCP. */
#ifndef PLANTAINHATCH_NODE_PEERTASK_H
#define PLANTAINHATCH_NODE_PEERTASK_H

#include "connection/BulkServer.h"
#include "connection/PeerSocket.h"
#include "connection/Timer.h"
#include "node/NodeServices.h"
#include "process/Membership.h"
#include "process/ServiceIndex.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace plantainhatch {

/** Serves the peers address (NodeSettings::peers) and owns this node's view of
 * the fleet. Use on the main loop only. */
class PeerTask {
public:
  /** Interval of anti-entropy with a random peer. */
  static constexpr std::chrono::seconds SyncInterval{10};
  /** Minimum time between two joins of unknown senders. */
  static constexpr std::chrono::seconds UnknownSenderInterval{1};

  /** Callbacks of other tasks. They are called on the main loop; unset ones are
   * skipped. */
  struct Listeners {
    /** Called with each accepted datagram, after the membership has processed
     * it. */
    std::function<void(const Message &)> message;
    /** Called with a node's configuration version if it differs from this
     * node's. */
    std::function<void(const Address &sender, std::uint64_t version)>
        configurationVersion;
    /** Returns the reply to a peer's request for the configuration. */
    std::function<BulkReplyBody(const ConfigurationRequest &)> configuration;
    /** The same for a peer that takes compressed updates. */
    std::function<BulkReplyBody(const CompactConfigurationRequest &)>
        compactConfiguration;
    /** Called with an accepted version that an operator's command offers. */
    std::function<void(const ConfigurationOffer &)> offer;
    /** Called with departures that the node at this peers address gives to
     * keep. */
    std::function<void(const Address &, const DepartureNotice &)>
        departureNotice;
    /** Returns the departures that are kept for the node at this peers address.
     */
    std::function<DepartureReply(const Address &)> departureQuery;
    /** Called with the changes of members. */
    std::function<void(const std::vector<MemberChange> &)> members;
  };

  /** Binds the UDP and TCP sockets and starts the protocol. \return the task,
   * or findings if the address cannot be used. */
  static Checked<std::unique_ptr<PeerTask>> start(NodeServices &services);

  ~PeerTask() = default;
  PeerTask(const PeerTask &) = delete;
  PeerTask &operator=(const PeerTask &) = delete;
  PeerTask(PeerTask &&) = delete;
  PeerTask &operator=(PeerTask &&) = delete;

  void setListeners(Listeners newListeners) {
    listeners = std::move(newListeners);
  }

  /** Sends a datagram with pending membership updates. \return its size in
   * bytes. */
  std::size_t send(const Address &receiver, const MessageBody &body);
  /** Sends a datagram without membership updates, so that its size is bounded.
   * \return its size in bytes. */
  std::size_t sendWithoutUpdates(const Address &receiver,
                                 const MessageBody &body);
  /** Sends the same datagram, without membership updates, to each receiver. */
  void sendToAll(const std::vector<Address> &receivers,
                 const MessageBody &body);
  /** Sends a bulk request over TCP. \p done is called with the reply, or with
   * nothing if there is no valid reply within BulkTimeout. It is not called
   * after this task is destroyed. */
  void request(const Address &receiver, const BulkRequestBody &body,
               std::function<void(std::optional<BulkReplyBody>)> done);
  /** Exchanges memberships with the node at the peers address \p seed, which
   * need not be known. Has no effect for this node's own address. */
  void join(const Address &seed);
  /** True if an exchange of memberships has failed, as its peer may be gone. */
  bool hasExchangeFailed() const { return exchangeFailed; }
  /** Publishes the target beside this node to the fleet, if it has changed. */
  void setTarget(const Target &target);
  /** Publishes to the fleet that this node leaves. */
  void leave();
  /** Sends pending updates to a few random peers without waiting for the next
   * gossip interval. */
  void gossipUpdates();
  /** Sets the configuration version that message headers carry. */
  void setConfigurationVersion(std::uint64_t newVersion) {
    configurationVersion = newVersion;
  }

  const Membership &membership() const { return members; }
  const ServiceIndex &index() const { return serviceIndex; }
  std::optional<Address> pickRandomPeer() { return members.pickRandomPeer(); }

private:
  NodeServices &services;
  Membership members;
  ServiceIndex serviceIndex;
  Listeners listeners;
  std::unique_ptr<PeerSocket> socket;
  std::unique_ptr<BulkServer> server;
  Timer tickTimer;
  Timer syncTimer;
  std::uint64_t configurationVersion = 0;
  TimePoint lastUnknownSenderAt;
  bool exchangeFailed = false;
  /** Expires with this task, so that pending callbacks do nothing. */
  std::shared_ptr<PeerTask *> alive = std::make_shared<PeerTask *>(this);

  explicit PeerTask(NodeServices &services);

  MessageHeader makeHeader();
  std::size_t transmit(const Address &receiver, const Message &message);
  void transmitBytes(const Address &receiver, const std::string &bytes);
  bool isAcceptable(const MessageHeader &header);
  void tick();
  void sync();
  void syncWith(const Address &peer);
  void receive(std::string_view bytes);
  std::optional<std::string> answer(const std::string &frame);
  BulkReplyBody answerBody(const Address &sender, const BulkRequestBody &body);
  void sendAll(const std::vector<OutgoingMessage> &outgoing);
  void joinUnknownSender(const Address &sender);
  void publishVersion(const MessageHeader &header);
  void publishChanges();
  void recordChange(const MemberChange &change);
};

} // namespace plantainhatch

#endif
