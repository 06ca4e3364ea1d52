#include "node/StatusTask.h"

#include "base/Text.h"
#include "node/EventJson.h"
#include "node/MemberJson.h"
#include "process/metricLabel.h"
#include "request/HeaderNames.h"
#include "request/HttpStatus.h"
#include "request/Outcome.h"

#include <nlohmann/json.hpp>

#include <ranges>
#include <sstream>

namespace plantainhatch {

namespace {

using nlohmann::json;

void replyError(const IncomingCallPtr &call, unsigned status,
                const std::string &message) {
  call->reply(status,
              {{headers::Outcome, std::string(toString(Outcome::NotRun))},
               {"Content-Type", "text/plain"}},
              message + "\n");
}

/** The value of the query parameter \p name in the request target, not
 * percent-decoded. */
std::optional<std::string> findParameter(const std::string &requestTarget,
                                         const std::string &name) {
  const auto question = requestTarget.find('?');
  if (question == std::string::npos)
    return std::nullopt;
  std::istringstream query(requestTarget.substr(question + 1));
  std::string item;
  while (std::getline(query, item, '&'))
    if (item.starts_with(name + "="))
      return item.substr(name.size() + 1);
  return std::nullopt;
}

/** What follows the prefix of the status paths; empty for any other path. */
std::string nameIn(std::string_view path) {
  constexpr std::string_view Prefix = StatusTask::PathPrefix;
  return path.starts_with(Prefix) ? std::string(path.substr(Prefix.size()))
                                  : std::string();
}

} // namespace

StatusTask::StatusTask(NodeServices &services, PeerTask &peers,
                       ConfigurationTask &configuration, MeasureTask &measure,
                       CrashTask &crashes, GateTask &gate)
    : services(services), peers(peers), configuration(configuration),
      measure(measure), crashes(crashes), gate(gate) {}

void StatusTask::serve(const IncomingCallPtr &call) {
  const CallRequest &request = call->request();
  const std::string name = nameIn(request.path());
  const HeaderList jsonType{{"Content-Type", "application/json"}};
  if (!isSafeMethod(request.method)) {
    replyError(call, httpStatus::MethodNotAllowed,
               "the status paths are read-only; use GET");
  } else if (name == "status") {
    const bool hasMembers = findParameter(request.target, "members") != "0";
    call->reply(httpStatus::Ok, jsonType,
                encodeJson(makeStatus(hasMembers)) + "\n");
  } else if (name == "events") {
    const auto since =
        HybridTime::parse(findParameter(request.target, "since").value_or("0"));
    if (!since)
      replyError(call, httpStatus::BadRequest,
                 "since: must be a decimal number, the time of an event");
    else
      call->reply(httpStatus::Ok, jsonType,
                  encodeJson({{"events", toJson(services.events.since(*since))},
                              {"dropped", services.events.droppedCount()}}) +
                      "\n");
  } else if (name == "metrics") {
    call->reply(httpStatus::Ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                makeMetrics());
  } else {
    replyError(call, httpStatus::NotFound,
               std::string("unknown path; use ") + PathPrefix +
                   " and then status, events or metrics");
  }
}

json StatusTask::makeStatus(bool hasMembers) const {
  const ConfigurationHead &head = configuration.current()->head();
  json status{{"node", services.settings.callers.toString()},
              {"cluster", services.settings.cluster},
              {"failureDomain", services.settings.failureDomain},
              {"stopping", isStopping},
              {"version", head.version},
              {"digest", head.digest},
              {"applyId", head.applyId},
              {"newestHeard", configuration.heardVersions().newest()},
              {"outdated", configuration.isOutdated()},
              {"storeUp", configuration.isStoreUp()},
              {"present", peers.membership().presentCount()},
              {"gate", makeGate()},
              {"quarantine", makeQuarantine()},
              {"measure", makeMeasure()}};
  if (hasMembers)
    status["members"] = makeMembers();
  return status;
}

json StatusTask::makeGate() const {
  const Gate &state = gate.state();
  return {{"service", state.target().service},
          {"target", state.target().address.isEmpty()
                         ? std::string()
                         : state.target().address.toString()},
          {"state", toString(state.target().state)},
          {"bootId", state.target().bootId},
          {"slots", state.target().slots},
          {"coldSlots", state.target().coldSlots},
          {"limit", state.limit()},
          {"inFlight", state.inFlight()},
          {"queued", state.queued()},
          {"peakInFlight", state.peakInFlight()}};
}

json StatusTask::makeMembers() const {
  json list = json::array();
  list.push_back(toJson(peers.membership().self()));
  for (const Member &member : peers.membership().others() | std::views::values)
    list.push_back(toJson(member));
  return list;
}

json StatusTask::makeQuarantine() const {
  json list = json::array();
  for (const Quarantine::Entry &entry : crashes.list()) {
    std::ostringstream fingerprint;
    fingerprint << std::hex << entry.fingerprint;
    const auto remaining =
        std::chrono::duration_cast<std::chrono::seconds>(entry.remaining);
    list.push_back({{"fingerprint", fingerprint.str()},
                    {"crashes", entry.crashes},
                    {"quarantined", entry.isQuarantined},
                    {"remainingSeconds", remaining.count()}});
  }
  return list;
}

json StatusTask::makeMeasure() const {
  const MeasureRule &rule = configuration.current()->measure();
  return {{"messagesPerSecond", rule.messagesPerSecond},
          {"bytesPerSecond", rule.bytesPerSecond},
          {"messages", measure.measureBudget().messageCount()},
          {"refused", measure.measureBudget().refusedCount()}};
}

std::string StatusTask::makeMetrics() {
  const Gate &state = gate.state();
  services.metrics.set("gate_in_flight", state.inFlight());
  services.metrics.set("gate_limit", state.limit());
  services.metrics.set("gate_queued", static_cast<double>(state.queued()));
  services.metrics.set("calls_outstanding",
                       static_cast<double>(measure.loadTable().outstanding()));
  services.metrics.set(
      "platform_requests",
      static_cast<double>(services.storeClient.requestCount()));
  for (const auto &[call, count] : services.storeClient.requestsByCall())
    services.metrics.set("platform_requests_by_call", metricLabel("call", call),
                         static_cast<double>(count));
  services.metrics.set("platform_bytes",
                       static_cast<double>(services.storeClient.byteCount()));
  services.metrics.set("members_present",
                       static_cast<double>(peers.membership().presentCount()));
  return services.metrics.print();
}

} // namespace plantainhatch
