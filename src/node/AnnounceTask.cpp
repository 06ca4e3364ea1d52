#include "node/AnnounceTask.h"

#include "base/Text.h"
#include "node/parseAnnouncement.h"
#include "request/HttpStatus.h"

#include <nlohmann/json.hpp>

namespace plantainhatch {

namespace {

using nlohmann::json;

void replyJson(const IncomingCallPtr &call, unsigned status, const json &body) {
  call->reply(status, {{"Content-Type", "application/json"}},
              encodeJson(body) + "\n");
}

void replyError(const IncomingCallPtr &call, unsigned status,
                const Findings &findings) {
  json list = json::array();
  for (const Finding &finding : findings)
    list.push_back({{"field", finding.field}, {"message", finding.message}});
  replyJson(call, status, {{"errors", list}});
}

void replyError(const IncomingCallPtr &call, unsigned status,
                const std::string &message) {
  replyError(call, status, Findings{{"request", 0, 0, {}, message}});
}

bool isLoopback(const std::string &host) {
  return host.starts_with("127.") || host == "::1";
}

} // namespace

Checked<std::unique_ptr<AnnounceTask>>
AnnounceTask::start(NodeServices &services, GateTask &gate,
                    DepartureTask &departures) {
  std::unique_ptr<AnnounceTask> task(
      new AnnounceTask(services, gate, departures));
  auto server = HttpServer::listen(
      services.settings.targets, "targets",
      [raw = task.get()](const IncomingCallPtr &call) { raw->serve(call); });
  if (!server)
    return std::move(server).error();
  task->server = std::move(server).value();
  departures.onLateDeparture([raw = task.get()] { raw->closeToDeparted(); });
  return task;
}

void AnnounceTask::serve(const IncomingCallPtr &call) {
  const std::string host = call->remoteHost();
  const std::string path(call->request().path());
  if (host != services.settings.targets.host && !isLoopback(host))
    replyError(call, httpStatus::Forbidden,
               "announcements are accepted from this VM only, not from " +
                   host);
  else if (path != "/plantainhatch/v1/announce" &&
           path != "/plantainhatch/v1/leave")
    replyError(call, httpStatus::NotFound,
               "unknown path; use /plantainhatch/v1/announce or "
               "/plantainhatch/v1/leave");
  else if (call->request().method != "POST")
    replyError(call, httpStatus::MethodNotAllowed,
               "method not allowed; use POST");
  else if (path == "/plantainhatch/v1/announce")
    announce(call);
  else
    leave(call);
}

void AnnounceTask::announce(const IncomingCallPtr &call) {
  const auto target = parseAnnouncement(call->request().body);
  if (!target) {
    replyError(call, httpStatus::BadRequest, target.error());
    return;
  }
  const std::string &host = target.value().address.host;
  if (host != services.settings.targets.host && !isLoopback(host)) {
    replyError(call, httpStatus::Forbidden,
               "the target's address is not on this VM");
    return;
  }
  const Target &current = gate.state().target();
  const bool isOtherTarget = current.address != target.value().address &&
                             current.state != TargetState::Absent &&
                             current.state != TargetState::Leaving;
  if (isOtherTarget) {
    replyError(call, httpStatus::Conflict,
               "this node already serves the target at " +
                   current.address.toString() + ", which has not left");
    return;
  }
  departures.whenRestored([this, call, announced = target.value()] {
    gate.announce(announced);
    closeToDeparted();
    replyJson(call, httpStatus::Ok,
              {{"renewWithinMs", GateTask::RenewalInterval.count()}});
  });
}

void AnnounceTask::closeToDeparted() {
  const std::string &bootId = gate.state().target().bootId;
  if (departures.contains(bootId, WallTime{}))
    gate.leave(bootId);
}

void AnnounceTask::leave(const IncomingCallPtr &call) {
  const auto bootId = parseLeave(call->request().body);
  if (!bootId) {
    replyError(call, httpStatus::BadRequest, bootId.error());
    return;
  }
  // A node that has just started may not have heard of its target.
  const Target &current = gate.state().target();
  const bool isOther =
      current.state != TargetState::Absent && current.bootId != bootId.value();
  if (isOther) {
    replyError(call, httpStatus::Conflict,
               "the target of this node has a different bootId");
    return;
  }
  gate.leave(bootId.value());
  departures.record({bootId.value(), WallTime::max()}, [this,
                                                        call](bool isRecorded) {
    if (isRecorded)
      replyJson(call, httpStatus::Ok, {{"inFlight", gate.state().inFlight()}});
    else
      replyError(call, httpStatus::ServiceUnavailable,
                 "the leave is in force at this node, but neither the "
                 "store nor another node could record it; send it again");
  });
}

} // namespace plantainhatch
