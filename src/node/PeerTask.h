/** \file
 * Speaks with other nodes: membership by UDP, bulk by TCP. */
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

/** Owns the peers address and this node's view of the fleet. */
class PeerTask {
public:
  static constexpr std::chrono::seconds SyncInterval{10};
  /** Least time between two joins of senders that are not known. */
  static constexpr std::chrono::seconds UnknownSenderInterval{1};

  /** What other tasks are told. All are called on the main loop; unset ones are
   * not called. */
  struct Listeners {
    /** A datagram that is not about membership. */
    std::function<void(const Message &)> message;
    /** A node has a version that differs from the one in force here. */
    std::function<void(const Address &sender, std::uint64_t version)>
        configurationVersion;
    /** Answers a peer's request for the configuration. */
    std::function<ConfigurationReply(const ConfigurationRequest &)>
        configuration;
    /** An operator's command offers a version that was accepted. */
    std::function<void(const ConfigurationOffer &)> offer;
    /** Members have changed. */
    std::function<void(const std::vector<MemberChange> &)> members;
  };

  /** Opens the sockets. \return the task, or findings if the address cannot be
   * used. */
  static Checked<std::unique_ptr<PeerTask>> start(NodeServices &services);

  ~PeerTask() = default;
  PeerTask(const PeerTask &) = delete;
  PeerTask &operator=(const PeerTask &) = delete;
  PeerTask(PeerTask &&) = delete;
  PeerTask &operator=(PeerTask &&) = delete;

  void setListeners(Listeners newListeners) {
    listeners = std::move(newListeners);
  }

  /** Sends a datagram with a header and news. \return the bytes on the wire. */
  std::size_t send(const Address &receiver, const MessageBody &body);
  /** Sends a datagram with a header only, so that its size is bounded.
   * \return the bytes on the wire. */
  std::size_t sendWithoutUpdates(const Address &receiver,
                                 const MessageBody &body);
  /** Asks a node over TCP; nothing comes back if it does not answer. */
  void request(const Address &receiver, const BulkRequestBody &body,
               std::function<void(std::optional<BulkReplyBody>)> done);
  /** Exchanges memberships with a node that is not known yet. */
  void join(const Address &seed);
  /** Tells the fleet of the target beside this node. */
  void setTarget(const Target &target);
  /** Tells the fleet that this node leaves. */
  void leave();
  /** Sends notices, so that urgent news leaves at once. */
  void gossipUpdates();
  /** The version that goes out in headers. */
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
  /** Guards callbacks of requests that outlive the task. */
  std::shared_ptr<PeerTask *> alive = std::make_shared<PeerTask *>(this);

  explicit PeerTask(NodeServices &services);

  MessageHeader makeHeader();
  std::size_t transmit(const Address &receiver, const Message &message);
  bool isAcceptable(const MessageHeader &header);
  void tick();
  void sync();
  void syncWith(const Address &peer);
  void receive(std::string_view bytes);
  std::optional<std::string> answer(const std::string &frame);
  BulkReplyBody answerBody(const BulkRequestBody &body);
  void sendAll(const std::vector<OutgoingMessage> &outgoing);
  void joinUnknownSender(const Address &sender);
  void publishChanges();
  void recordChange(const MemberChange &change);
};

} // namespace plantainhatch

#endif
