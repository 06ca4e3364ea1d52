#include "node/AnnounceTask.h"

#include "node/parseAnnouncement.h"
#include "request/HttpStatus.h"

#include <nlohmann/json.hpp>

namespace plantainhatch {

namespace {

using nlohmann::json;

void replyJson(const IncomingCallPtr &call, unsigned status, const json &body) {
  call->reply(status, {{"Content-Type", "application/json"}},
              body.dump() + "\n");
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
AnnounceTask::start(NodeServices &services, GateTask &gate) {
  std::unique_ptr<AnnounceTask> task(new AnnounceTask(services, gate));
  auto server = HttpServer::listen(
      services.settings.targets, "targets",
      [raw = task.get()](const IncomingCallPtr &call) { raw->serve(call); });
  if (!server)
    return std::move(server).error();
  task->server = std::move(server).value();
  return task;
}

void AnnounceTask::serve(const IncomingCallPtr &call) {
  const std::string host = call->remoteHost();
  const std::string path(call->request().path());
  if (host != services.settings.targets.host && !isLoopback(host))
    replyError(call, httpStatus::Forbidden,
               "announcements are taken from this VM only, and not from " +
                   host);
  else if (path != "/plantainhatch/v1/announce" &&
           path != "/plantainhatch/v1/leave")
    replyError(call, httpStatus::NotFound,
               "there is only /plantainhatch/v1/announce and .../leave");
  else if (call->request().method != "POST")
    replyError(call, httpStatus::MethodNotAllowed, "use POST");
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
  const Target &known = gate.state().target();
  const bool isOther = known.address != target.value().address &&
                       known.state != TargetState::Absent &&
                       known.state != TargetState::Leaving;
  if (isOther) {
    replyError(call, httpStatus::Conflict,
               "this node serves the target at " + known.address.toString() +
                   " already");
    return;
  }
  gate.announce(target.value());
  replyJson(call, httpStatus::Ok,
            {{"renewWithinMs", GateTask::RenewalInterval.count()}});
}

void AnnounceTask::leave(const IncomingCallPtr &call) {
  const auto bootId = parseLeave(call->request().body);
  if (!bootId)
    replyError(call, httpStatus::BadRequest, bootId.error());
  else if (!gate.leave(bootId.value()))
    replyError(call, httpStatus::Conflict,
               "the target of this node has another bootId");
  else
    replyJson(call, httpStatus::Ok, {{"inFlight", gate.state().inFlight()}});
}

} // namespace plantainhatch
