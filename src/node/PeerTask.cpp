#include "node/PeerTask.h"

#include "connection/BulkClient.h"

#include <glog/logging.h>

namespace plantainhatch {

namespace {

Member makeSelf(const NodeSettings &settings) {
  Member self;
  self.peersAddress = settings.peers;
  self.callersAddress = settings.forwardAddress();
  self.failureDomain = settings.failureDomain;
  self.generation = static_cast<std::uint64_t>(
      NodeServices::wallNow().time_since_epoch().count());
  return self;
}

/** Maps a change of liveness to a kind of event. */
EventKind eventKindOf(const MemberChange &change) {
  switch (change.after.liveness) {
  case Liveness::Suspect:
    return EventKind::MemberSuspected;
  case Liveness::Dead:
    return EventKind::MemberDead;
  case Liveness::Left:
    return EventKind::MemberLeft;
  case Liveness::Alive:
    break;
  }
  const bool isNew =
      !change.before || change.before->generation != change.after.generation;
  return isNew ? EventKind::MemberJoined : EventKind::MemberReturned;
}

} // namespace

Checked<std::unique_ptr<PeerTask>> PeerTask::start(NodeServices &services) {
  std::unique_ptr<PeerTask> task(new PeerTask(services));
  auto socket = PeerSocket::bind(
      services.settings.peers,
      [raw = task.get()](std::string_view it) { raw->receive(it); });
  if (!socket)
    return std::move(socket).error();
  auto server = BulkServer::listen(
      services.settings.peers,
      [raw = task.get()](const std::string &it) { return raw->answer(it); });
  if (!server)
    return std::move(server).error();
  task->socket = std::move(socket).value();
  task->server = std::move(server).value();
  task->tickTimer.startRepeating(Membership::TickInterval,
                                 [raw = task.get()] { raw->tick(); });
  task->syncTimer.startRepeating(SyncInterval,
                                 [raw = task.get()] { raw->sync(); });
  return task;
}

PeerTask::PeerTask(NodeServices &services)
    : services(services),
      members(makeSelf(services.settings), services.random()) {}

std::size_t PeerTask::send(const Address &receiver, const MessageBody &body) {
  Message message{makeHeader(), body, {}, {}};
  members.addUpdates(message, receiver);
  return transmit(receiver, message);
}

std::size_t PeerTask::sendWithoutUpdates(const Address &receiver,
                                         const MessageBody &body) {
  return transmit(receiver, Message{makeHeader(), body, {}, {}});
}

std::size_t PeerTask::transmit(const Address &receiver,
                               const Message &message) {
  const std::string bytes = services.codec.encode(message);
  transmitBytes(receiver, bytes);
  return bytes.size();
}

void PeerTask::sendToAll(const std::vector<Address> &receivers,
                         const MessageBody &body) {
  if (receivers.empty())
    return;
  const std::string bytes =
      services.codec.encode(Message{makeHeader(), body, {}, {}});
  for (const Address &receiver : receivers)
    transmitBytes(receiver, bytes);
}

void PeerTask::transmitBytes(const Address &receiver,
                             const std::string &bytes) {
  socket->send(receiver, bytes);
  services.metrics.add("control_messages_total", R"(direction="sent")");
  services.metrics.add("control_bytes_total", R"(direction="sent")",
                       bytes.size());
}

void PeerTask::request(const Address &receiver, const BulkRequestBody &body,
                       std::function<void(std::optional<BulkReplyBody>)> done) {
  const BulkRequest request{makeHeader(), services.random(), body};
  const std::string bytes = services.codec.encode(request);
  services.metrics.add("control_bytes_total", R"(direction="sent")",
                       bytes.size());
  const auto onReply =
      [weak = std::weak_ptr(alive), nonce = request.nonce,
       done = std::move(done)](const std::optional<std::string> &frame) {
        const auto self = weak.lock();
        if (!self)
          return;
        PeerTask &task = **self;
        const ScopedControlCpuTimer scope(task.services.metrics);
        if (!frame) {
          done(std::nullopt);
          return;
        }
        task.services.metrics.add("control_bytes_total",
                                  R"(direction="received")", frame->size());
        auto reply = task.services.codec.decode<BulkReply>(*frame);
        const bool isValid =
            reply && reply->nonce == nonce && task.isAcceptable(reply->header);
        if (isValid)
          task.publishVersion(reply->header);
        done(isValid ? std::optional(std::move(reply->body)) : std::nullopt);
      };
  requestBulk(receiver, bytes, onReply);
}

void PeerTask::join(const Address &seed) {
  if (seed != services.settings.peers)
    syncWith(seed);
}

void PeerTask::setTarget(const Target &target) {
  if (members.self().target == target)
    return;
  members.setTarget(target);
  serviceIndex.update(members.self());
  gossipUpdates();
}

void PeerTask::leave() {
  members.leave();
  serviceIndex.update(members.self());
  gossipUpdates();
}

void PeerTask::gossipUpdates() { sendAll(members.makeGossip()); }

MessageHeader PeerTask::makeHeader() {
  MessageHeader header;
  header.cluster = services.settings.cluster;
  header.sender = services.settings.peers;
  header.generation = members.self().generation;
  header.time = services.stamp();
  header.configurationVersion = configurationVersion;
  return header;
}

bool PeerTask::isAcceptable(const MessageHeader &header) {
  const bool isValid = header.protocol == MessageHeader::CurrentProtocol &&
                       header.cluster == services.settings.cluster;
  if (!isValid) {
    services.metrics.add("control_rejected_total", R"(reason="header")");
    return false;
  }
  services.observe(header.time);
  return true;
}

void PeerTask::tick() {
  const ScopedControlCpuTimer scope(services.metrics);
  sendAll(members.tick(NodeServices::now()));
  if (members.takePauseDetected())
    services.record(EventKind::PauseSeen, services.settings.callers.toString(),
                    "this node was paused",
                    "no timer tick for longer than the pause threshold");
  publishChanges();
}

void PeerTask::sync() {
  const ScopedControlCpuTimer scope(services.metrics);
  if (const auto peer = members.pickRandomPeer())
    syncWith(*peer);
}

void PeerTask::syncWith(const Address &peer) {
  request(peer, SyncRequest{members.digests()},
          [this, peer](const std::optional<BulkReplyBody> &body) {
            const auto *const reply =
                body ? std::get_if<SyncReply>(&*body) : nullptr;
            exchangeFailed = exchangeFailed || reply == nullptr;
            if (reply == nullptr)
              return;
            const auto missing = members.membersThatDiffer(reply->digests);
            members.merge(reply->members, false, NodeServices::now());
            if (!missing.empty())
              request(peer, SyncPush{missing}, [](const auto & /*body*/) {});
            publishChanges();
          });
}

void PeerTask::receive(std::string_view bytes) {
  const ScopedControlCpuTimer scope(services.metrics);
  services.metrics.add("control_messages_total", R"(direction="received")");
  services.metrics.add("control_bytes_total", R"(direction="received")",
                       bytes.size());
  const auto message = services.codec.decode<Message>(bytes);
  if (!message) {
    services.metrics.add("control_rejected_total", R"(reason="undecodable")");
    return;
  }
  if (!isAcceptable(message->header))
    return;
  sendAll(members.receive(*message, NodeServices::now()));
  joinUnknownSender(message->header.sender);
  publishChanges();
  publishVersion(message->header);
  if (listeners.message)
    listeners.message(*message);
}

void PeerTask::publishVersion(const MessageHeader &header) {
  if (header.configurationVersion != configurationVersion &&
      listeners.configurationVersion)
    listeners.configurationVersion(header.sender, header.configurationVersion);
}

void PeerTask::joinUnknownSender(const Address &sender) {
  const TimePoint now = NodeServices::now();
  if (members.find(sender) != nullptr ||
      now - lastUnknownSenderAt < UnknownSenderInterval)
    return;
  lastUnknownSenderAt = now;
  join(sender);
}

std::optional<std::string> PeerTask::answer(const std::string &frame) {
  const ScopedControlCpuTimer scope(services.metrics);
  services.metrics.add("control_bytes_total", R"(direction="received")",
                       frame.size());
  const auto request = services.codec.decode<BulkRequest>(frame);
  if (!request) {
    services.metrics.add("control_rejected_total", R"(reason="undecodable")");
    return std::nullopt;
  }
  if (!isAcceptable(request->header))
    return std::nullopt;
  BulkReplyBody body = answerBody(request->header.sender, request->body);
  publishChanges();
  std::string bytes = services.codec.encode(
      BulkReply{makeHeader(), request->nonce, std::move(body)});
  services.metrics.add("control_bytes_total", R"(direction="sent")",
                       bytes.size());
  return bytes;
}

BulkReplyBody PeerTask::answerBody(const Address &sender,
                                   const BulkRequestBody &body) {
  if (const auto *const sync = std::get_if<SyncRequest>(&body))
    return SyncReply{members.digests(),
                     members.membersThatDiffer(sync->digests)};
  if (const auto *const push = std::get_if<SyncPush>(&body)) {
    members.merge(push->members, true, NodeServices::now());
    return PushReply{};
  }
  if (const auto *const offer = std::get_if<ConfigurationOffer>(&body)) {
    if (listeners.offer)
      listeners.offer(*offer);
    return PushReply{};
  }
  if (const auto *const compact =
          std::get_if<CompactConfigurationRequest>(&body))
    return listeners.compactConfiguration
               ? listeners.compactConfiguration(*compact)
               : PushReply{};
  if (const auto *const notice = std::get_if<DepartureNotice>(&body)) {
    if (listeners.departureNotice)
      listeners.departureNotice(sender, *notice);
    return PushReply{};
  }
  if (std::holds_alternative<DepartureQuery>(body))
    return listeners.departureQuery ? listeners.departureQuery(sender)
                                    : DepartureReply{};
  if (!listeners.configuration)
    return ConfigurationReply{};
  return listeners.configuration(std::get<ConfigurationRequest>(body));
}

void PeerTask::sendAll(const std::vector<OutgoingMessage> &outgoing) {
  for (const OutgoingMessage &it : outgoing)
    send(it.receiver, it.body);
}

void PeerTask::publishChanges() {
  const auto changes = members.takeChanges();
  if (changes.empty())
    return;
  for (const MemberChange &change : changes) {
    serviceIndex.update(change.after);
    recordChange(change);
  }
  services.metrics.set("members_present",
                       static_cast<double>(members.presentCount()));
  if (listeners.members)
    listeners.members(changes);
}

void PeerTask::recordChange(const MemberChange &change) {
  const bool isSame = change.before &&
                      change.before->liveness == change.after.liveness &&
                      change.before->generation == change.after.generation;
  if (isSame)
    return;
  services.record(eventKindOf(change), change.after.callersAddress.toString(),
                  "in failure domain " + change.after.failureDomain + ", now " +
                      std::string(toString(change.after.liveness)),
                  "incarnation " + std::to_string(change.after.incarnation));
}

} // namespace plantainhatch
