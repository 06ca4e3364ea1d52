#include "platform/SiteFixture.h"

#include "operator/MainLoop.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <numeric>

namespace plantainhatch::test {

namespace {

using nlohmann::json;

constexpr const char *Service = "shop";
constexpr const char *IdHeader = "X-Plantainhatch-Request-Attempt-Id";
constexpr const char *SignatureHeader = "X-Plantainhatch-Server-Signature";

std::string makeConfiguration(unsigned version) {
  const auto route = [](const char *prefix, const char *kind) {
    return json{{"host", "h.example"}, {"prefix", prefix},
                {"kind", kind},        {"timeout_ms", 8000},
                {"attempts", 2},       {"priority", 1},
                {"service", Service},  {"target_latency_ms", 400}};
  };
  const std::string own = "/v" + std::to_string(version) + "/";
  return json{{"version", version},
              {"routes",
               {{"read", route("/read/", "safe")},
                {"write", route("/write/", "unsafe")},
                {"own", route(own.c_str(), "safe")}}},
              {"services",
               {{Service,
                 {{"health_check_path", "/health"},
                  {"connection_limit", 220},
                  {"cold_start_s", 3.0},
                  {"cold_per_s", 20.0}}}}},
              {"limits", json::object()}}
      .dump();
}

/** Gathers a whole answer. */
void readAnswer(const boost::intrusive_ptr<Exchange> &exchange,
                const std::shared_ptr<HttpAnswer> &answer, unsigned status) {
  exchange->read([exchange, answer, status](const Chunk &chunk) {
    if (const auto *const bytes = std::get_if<GBytesPtr>(&chunk)) {
      answer->body += toString(bytes->get());
      readAnswer(exchange, answer, status);
    } else if (std::holds_alternative<BodyEnd>(chunk)) {
      answer->status = status;
    } else {
      answer->status = 1;
    }
  });
}

} // namespace

SiteTarget::SiteTarget(const Address &address, std::string service,
                       std::string name)
    : address(address), service(std::move(service)),
      targetName(std::move(name)) {
  listen();
}

void SiteTarget::listen() {
  auto listening = HttpServer::listen(
      address, "target", [this](const IncomingCallPtr &call) { serve(call); });
  if (listening)
    server = std::move(listening).value();
}

void SiteTarget::crash() {
  server.reset();
  work.clear();
  held.clear();
}

void SiteTarget::restart(std::string name, Duration coldTime) {
  targetName = std::move(name);
  ++births;
  sequence = 0;
  manner = Manner::Answer;
  coldUntil = std::chrono::steady_clock::now() + coldTime;
  listen();
}

std::chrono::milliseconds SiteTarget::coldLeft() const {
  return std::max(std::chrono::milliseconds(0),
                  std::chrono::ceil<std::chrono::milliseconds>(
                      coldUntil - std::chrono::steady_clock::now()));
}

void SiteTarget::serve(const IncomingCallPtr &call) {
  if (call->request().path() == "/health") {
    call->reply(200,
                {{"X-Plantainhatch-Instance-Id", targetName},
                 {"X-Plantainhatch-Cold-Milliseconds",
                  std::to_string(coldLeft().count())},
                 {"X-Plantainhatch-Server-Load",
                  "0,0,9," + std::to_string(slowdownPercent)}},
                "");
    return;
  }
  const auto expected =
      findHeader(call->request().headers, "X-Plantainhatch-Expected-Instance");
  if (expected && *expected != targetName) {
    call->reply(421, {{"X-Plantainhatch-Not-Executed", "1"}}, "");
    return;
  }
  const std::string id =
      findHeader(call->request().headers, IdHeader).value_or("");
  seenHeaders = call->request().headers;
  if (manner == Manner::Shed) {
    call->reply(503, {{"X-Plantainhatch-Not-Executed", "1"}}, "");
    return;
  }
  ++runs[id];
  if (runAction)
    runAction(id);
  if (manner == Manner::Hold)
    held.push_back(call);
  else if (serviceTime > Duration())
    answerLater(call, id);
  else
    answerCall(call, id);
}

void SiteTarget::answerLater(const IncomingCallPtr &call,
                             const std::string &id) {
  work.push_back(std::make_unique<Timer>());
  const auto it = std::prev(work.end());
  (*it)->startOnce(serviceTime, [this, call, id, it] {
    work.erase(it);
    answerCall(call, id);
  });
}

void SiteTarget::answerCall(const IncomingCallPtr &call,
                            const std::string &id) {
  const HeaderList signedHeaders{{IdHeader, id}, {SignatureHeader, targetName}};
  switch (manner) {
  case Manner::Foreign:
    call->reply(200, {{IdHeader, "another"}, {SignatureHeader, targetName}},
                "of another");
    break;
  case Manner::Unsigned:
    call->reply(200, {{IdHeader, id}}, "unsigned");
    break;
  case Manner::Fail:
    call->reply(500, signedHeaders, "failed");
    break;
  case Manner::BreakOff:
  case Manner::Stall: {
    AnswerHead head;
    head.status = 200;
    head.headers = signedHeaders;
    head.contentLength = 100;
    call->startStream(head);
    const GBytesPtr half(g_bytes_new("half", 4));
    if (manner == Manner::Stall)
      held.push_back(call);
    call->writeChunk(half.get(), [call, isCut = manner == Manner::BreakOff] {
      if (isCut)
        call->abort();
    });
    break;
  }
  default:
    call->reply(200, signedHeaders, "whole " + id);
  }
}

void SiteTarget::release() {
  manner = Manner::Answer;
  answerHeld();
}

void SiteTarget::fail() {
  manner = Manner::Fail;
  answerHeld();
}

void SiteTarget::answerHeld() {
  for (const IncomingCallPtr &call : std::exchange(held, {}))
    answerCall(call,
               findHeader(call->request().headers, IdHeader).value_or(""));
}

unsigned SiteTarget::runsOf(const std::string &requestId) const {
  const auto it = runs.find(requestId);
  return it == runs.end() ? 0 : it->second;
}

unsigned SiteTarget::runCount() const {
  return std::accumulate(
      runs.begin(), runs.end(), 0U,
      [](unsigned sum, const auto &item) { return sum + item.second; });
}

json SiteTarget::heartbeat(const std::string &state,
                           const Address &shownAddress) {
  return {
      {"address", shownAddress.toString()},
      {"born", births},
      {"information",
       {{"service", service}, {"version", softwareVersion}, {"slots", slots}}},
      {"status",
       {{"state", state},
        {"sequence", ++sequence},
        {"cold_remaining_ms", coldLeft().count()}}}};
}

SiteFixture::SiteFixture(const std::vector<std::string> &failureDomains,
                         SiteLinks links)
    : files(FleetPlan{}), store(freeAddress()) {
  storeProcess = std::make_unique<ChildProcess>(
      std::vector<std::string>{binFolder() + "/standin-platform",
                               store.toString()},
      files.write("store.log", ""));
  for (const std::string &domain : failureDomains) {
    auto machine = std::make_unique<SiteMachine>();
    for (Address *const it :
         {&machine->callers, &machine->peers, &machine->targets,
          &machine->forwards, &machine->readiness, &machine->metrics,
          &machine->targetAddress})
      *it = freeAddress();
    machine->failureDomain = domain;
    machine->shownTarget = machine->targetAddress;
    machine->shownStore = store;
    if (links == SiteLinks::Faulty) {
      machine->shownTarget = freeAddress();
      machine->shownStore = freeAddress();
      machine->targetLink =
          FaultyLink::listen(machine->shownTarget, machine->targetAddress);
      machine->storeLink = FaultyLink::listen(machine->shownStore, store);
    }
    machine->target =
        std::make_unique<SiteTarget>(machine->targetAddress, Service,
                                     "i-" + std::to_string(machines.size()));
    machine->settingsFile =
        files.write("site-" + std::to_string(machine->callers.port) + ".json",
                    makeSettings(*machine, Service));
    machines.push_back(std::move(machine));
  }
}

std::string SiteFixture::makeSettings(const SiteMachine &machine,
                                      const std::string &service) {
  const json site{{"forwards", machine.forwards.toString()},
                  {"readiness", machine.readiness.toString()},
                  {"metrics", machine.metrics.toString()},
                  {"target", machine.shownTarget.toString()},
                  {"service", service},
                  {"stopGraceSeconds", 6},
                  {"coldOverage", 1.5},
                  {"coldSlack", 5},
                  {"retryRatio", 0.2},
                  {"retryExtra", 56},
                  {"probesPerSecond", 60}};
  const json settings{{"cluster", "site"},
                      {"failureDomain", machine.failureDomain},
                      {"callers", machine.callers.toString()},
                      {"peers", machine.peers.toString()},
                      {"targets", machine.targets.toString()},
                      {"platform", "http://" + machine.shownStore.toString()},
                      {"key", "0123456789abcdef"},
                      {"site", site}};
  return settings.dump(2);
}

std::string SiteFixture::makeSettingsFile(std::size_t n,
                                          const std::string &service) const {
  return makeSettings(*machines[n], service);
}

void SiteFixture::writeSettingsFile(std::size_t n, const std::string &content) {
  std::ofstream(machines[n]->settingsFile) << content;
}

bool SiteFixture::start() {
  const bool isStoreUp = Fleet::waitUntil(
      [this] { return http.get(store, "/standin/stats").status == 200; });
  if (!isStoreUp)
    return false;
  writeConfiguration(1);
  for (std::size_t n = 0; n < machines.size(); ++n)
    startNode(n);
  const auto knowsAll = [this](std::size_t n) {
    const auto status =
        http.get(machines[n]->forwards, "/plantainhatch/v1/status?members=1");
    const json body = json::parse(status.body, nullptr, false);
    if (!body.is_object() || !body.contains("members"))
      return false;
    const auto serving =
        std::ranges::count_if(body["members"], [](const json &member) {
          return member.value("targetState", "") == "cold" ||
                 member.value("targetState", "") == "warm";
        });
    return serving == static_cast<std::ptrdiff_t>(machines.size());
  };
  return Fleet::waitUntil([&] {
    bool isComplete = true;
    for (std::size_t n = 0; n < machines.size(); ++n)
      isComplete = beat(n, "ready") == 200 && isReady(n) && isComplete;
    for (std::size_t n = 0; isComplete && n < machines.size(); ++n)
      isComplete = knowsAll(n);
    return isComplete;
  });
}

void SiteFixture::startNode(std::size_t n) {
  machines[n]->logFile = files.write("node-" + std::to_string(n) + ".log", "");
  machines[n]->node = std::make_unique<ChildProcess>(
      std::vector<std::string>{binFolder() + "/plantainhatchd", "--settings",
                               machines[n]->settingsFile},
      machines[n]->logFile);
}

void SiteFixture::writeRowOf(const std::string &table, const std::string &key,
                             const std::optional<std::string> &value) {
  json order{{"table", table}, {"key", key}};
  if (value)
    order["value"] = *value;
  http.send(store, "POST", "/standin/set-row", {},
            order.dump(-1, ' ', false, json::error_handler_t::replace));
}

void SiteFixture::writeConfiguration(unsigned version) {
  writeRow("config", makeConfiguration(version));
}

std::string SiteFixture::rowOf(const std::string &table,
                               const std::string &key) {
  const auto answer =
      http.get(store, "/standin/row?table=" + table + "&key=" + key);
  return answer.status == 200 ? answer.body : std::string();
}

unsigned SiteFixture::setStore(const json &order) {
  return http.send(store, "POST", "/standin/control", {}, order.dump()).status;
}

unsigned SiteFixture::beat(std::size_t n, const std::string &state) {
  SiteMachine &machine = *machines[n];
  return http
      .send(machine.targets, "PUT", "/instances/" + machine.target->name(), {},
            machine.target->heartbeat(state, machine.shownTarget).dump())
      .status;
}

std::shared_ptr<HttpAnswer>
SiteFixture::callLater(std::size_t n, const std::string &method,
                       const std::string &path, const std::string &id,
                       std::chrono::milliseconds deadline) {
  CallRequest request;
  request.method = method;
  request.target = path;
  request.headers = {{"Host", "h.example"},
                     {IdHeader, id},
                     {"X-Plantainhatch-Deadline-Milliseconds",
                      std::to_string(deadline.count())}};
  if (method == "POST")
    request.body = "body";
  return send(n, request, false).answer;
}

SiteFixture::PendingCall
SiteFixture::send(std::size_t n, const CallRequest &request, bool mayReuse) {
  auto answer = std::make_shared<HttpAnswer>();
  const auto exchange = std::make_shared<boost::intrusive_ptr<Exchange>>();
  *exchange =
      Exchange::start(&session, request, {machines[n]->callers, {}, !mayReuse},
                      [answer, exchange](const Exchange::Result &result) {
                        const auto *const head =
                            std::get_if<AnswerHead>(&result);
                        if (head == nullptr) {
                          answer->status = 1;
                          return;
                        }
                        answer->headers = head->headers;
                        readAnswer(*exchange, answer, head->status);
                      });
  return {*exchange, std::move(answer)};
}

HttpAnswer SiteFixture::call(std::size_t n, const std::string &method,
                             const std::string &path, const std::string &id,
                             std::chrono::milliseconds deadline) {
  const auto answer = callLater(n, method, path, id, deadline);
  Fleet::waitUntil([&] { return answer->status != 0; });
  return *answer;
}

bool SiteFixture::isReady(std::size_t n) {
  return http.get(machines[n]->readiness, "/readiness").status == 200;
}

unsigned SiteFixture::runsOf(const std::string &id) const {
  return std::accumulate(machines.begin(), machines.end(), 0U,
                         [&](unsigned sum, const auto &it) {
                           return sum + it->target->runsOf(id);
                         });
}

} // namespace plantainhatch::test
