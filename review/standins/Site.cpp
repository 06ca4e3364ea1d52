#include "Site.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using nlohmann::json;

constexpr const char *AttemptId = "X-Plantainhatch-Request-Attempt-Id";
constexpr const char *Signature = "X-Plantainhatch-Server-Signature";
constexpr const char *Program = "target/bin/plantainhatchd";
constexpr const char *Template = "deploy/node.json.template";
constexpr Milliseconds BeatInterval{1500};
constexpr Milliseconds BeatLimit{1000};
constexpr std::string_view Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &bytes) {
  std::string text;
  unsigned bits = 0;
  int count = 0;
  for (const char c : bytes) {
    bits = (bits << 8U) | static_cast<unsigned char>(c);
    for (count += 8; count >= 6; count -= 6)
      text += Digits[(bits >> static_cast<unsigned>(count - 6)) & 63U];
  }
  if (count > 0)
    text += Digits[(bits << static_cast<unsigned>(6 - count)) & 63U];
  while (text.size() % 4 != 0)
    text += '=';
  return text;
}

std::string decodeBase64(const std::string &text) {
  std::string bytes;
  unsigned bits = 0;
  int count = 0;
  for (const char c : text) {
    const std::size_t digit = Digits.find(c);
    if (digit == std::string_view::npos)
      break;
    bits = (bits << 6U) | static_cast<unsigned>(digit);
    count += 6;
    if (count < 8)
      continue;
    count -= 8;
    bytes += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
  }
  return bytes;
}

std::string unescape(const std::string &text) {
  std::string plain;
  for (std::size_t n = 0; n < text.size(); ++n)
    if (text[n] == '%' && n + 2 < text.size()) {
      plain += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
      n += 2;
    } else {
      plain += text[n];
    }
  return plain;
}

/** The value of a parameter in a query. */
std::string parameter(const std::string &target, const std::string &name) {
  std::istringstream query(
      target.substr(std::min(target.find('?'), target.size())));
  query.get();
  std::string item;
  while (std::getline(query, item, '&'))
    if (item.starts_with(name + "="))
      return unescape(item.substr(name.size() + 1));
  return {};
}

Answer makeJson(int status, const json &body) {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

json describeRow(const std::string &table, const std::string &key,
                 std::uint64_t version) {
  return {{"table", table},
          {"part", ""},
          {"key", key},
          {"version_number", version}};
}

std::string readFile(const std::string &name) {
  std::ifstream file(name);
  if (!file)
    throw std::runtime_error("cannot read " + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

/** Fills in a template with plain values, as the deploy page tells. */
std::string render(std::string text,
                   const std::map<std::string, std::string> &values) {
  for (const auto &[name, value] : values) {
    const std::array<std::pair<std::string, std::string>, 2> forms{
        {{"{{" + name + "|json}}", json(value).dump()},
         {"{{" + name + "}}", value}}};
    for (const auto &[form, replacement] : forms)
      for (std::size_t at = text.find(form); at != std::string::npos;
           at = text.find(form, at + replacement.size()))
        text.replace(at, form.size(), replacement);
  }
  return text;
}

} // namespace

void Record::line(const std::string &text) {
  const double now = seconds();
  const std::lock_guard lock(mutex);
  file << std::fixed << std::setprecision(3) << now << " " << text << "\n"
       << std::flush;
}

double Record::seconds() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       startedAt)
      .count();
}

Store::Store(const Address &address)
    : server(std::make_unique<Server>(address, [this](const Request &request) {
        return serve(request);
      })) {}

Store::~Store() {
  {
    const std::lock_guard lock(mutex);
    isEnding = true;
  }
  changed.notify_all();
  server->stop();
  pause(Milliseconds(100));
}

void Store::put(const std::string &key, const std::string &value) {
  const std::lock_guard lock(mutex);
  rows[{"op", key}] = {value, ++version, false};
  changed.notify_all();
}

Answer Store::serve(const Request &request) {
  if (request.path() == "/rows-get")
    return readRows(request.target);
  if (request.path() == "/rows-feed")
    return follow(request.target);
  if (request.path() == "/rows-tx")
    return transact(request.body);
  return makeJson(404, json::object());
}

Answer Store::readRows(const std::string &target) {
  const std::lock_guard lock(mutex);
  const std::string table = parameter(target, "table");
  const std::string from = parameter(target, "from");
  const std::string end = parameter(target, "target");
  json found = json::array();
  for (const auto &[place, row] : rows) {
    const auto &[rowTable, key] = place;
    if (rowTable != table || row.isRemoved || key < from ||
        (!end.empty() && key >= end))
      continue;
    json item = describeRow(table, key, row.version);
    item["value"] = encodeBase64(row.value);
    found.push_back(std::move(item));
  }
  return makeJson(200, {{"rows", found},
                        {"has_more", false},
                        {"version_number", version},
                        {"now_ms", 0}});
}

Answer Store::follow(const std::string &target) {
  const std::string table = parameter(target, "table");
  const std::uint64_t after = std::stoull(parameter(target, "after"));
  const Milliseconds wait(std::stoul(parameter(target, "wait_ms")));
  json found = json::array();
  const auto findChanges = [&] {
    std::vector<std::pair<std::uint64_t, json>> changes;
    for (const auto &[place, row] : rows) {
      if (place.first != table || row.version <= after)
        continue;
      json item = describeRow(table, place.second, row.version);
      if (row.isRemoved)
        item["tombstone"] = true;
      else
        item["value"] = encodeBase64(row.value);
      changes.emplace_back(row.version, std::move(item));
    }
    std::ranges::sort(changes, {}, &std::pair<std::uint64_t, json>::first);
    for (auto &change : changes)
      found.push_back(std::move(change.second));
    return isEnding || !found.empty();
  };
  std::unique_lock lock(mutex);
  changed.wait_for(lock, wait, findChanges);
  return makeJson(
      200, {{"rows", found}, {"version_number", version}, {"now_ms", 0}});
}

Answer Store::transact(const std::string &body) {
  const json order = json::parse(body);
  const std::lock_guard lock(mutex);
  json conflicts = json::array();
  for (const json &entry : order.at("expected")) {
    const auto it = rows.find({entry.at("table"), entry.at("key")});
    const std::uint64_t present =
        it == rows.end() || it->second.isRemoved ? 0 : it->second.version;
    if (present != entry.at("version_number").get<std::uint64_t>()) {
      json row = describeRow(entry.at("table"), entry.at("key"), present);
      row["value"] =
          present == 0 ? std::string() : encodeBase64(it->second.value);
      conflicts.push_back(std::move(row));
    }
  }
  if (!conflicts.empty())
    return makeJson(
        412, {{"rows", conflicts}, {"version_number", version}, {"now_ms", 0}});
  ++version;
  for (const json &entry : order.at("writes"))
    rows[{entry.at("table"), entry.at("key")}] = {
        decodeBase64(entry.at("value")), version, false};
  for (const json &entry : order.at("remove"))
    rows[{entry.at("table"), entry.at("key")}] = {"", version, true};
  changed.notify_all();
  return makeJson(200, {{"version_number", version}, {"now_ms", 0}});
}

void Node::start() {
  pid = fork();
  if (pid != 0)
    return;
  // It ends also where this process is ended from outside.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (out < 0)
    _exit(127);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execl(Program, Program, "--settings", settings.c_str(), nullptr);
  _exit(127);
}

void Node::signal(int number) const {
  if (pid > 0)
    kill(pid, number);
}

void Node::end() {
  if (pid <= 0)
    return;
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  pid = -1;
}

bool Node::hasEnded() {
  if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid)
    pid = -1;
  return pid <= 0;
}

Worker::Worker(Record &recordFile, Address own, Address control,
               Traits newTraits)
    : record(recordFile), address(std::move(own)),
      controlAddress(std::move(control)), traits(std::move(newTraits)),
      born(std::chrono::duration_cast<Milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()),
      server(std::make_unique<Server>(address, [this](const Request &request) {
        return serve(request);
      })) {}

Worker::~Worker() { end(); }

Request Worker::nextBeat() {
  const std::lock_guard lock(mutex);
  const json beat{{"address", address.text()},
                  {"born", born},
                  {"information",
                   {{"service", traits.service},
                    {"version", "v1"},
                    {"zone", traits.zone},
                    {"slots", 9}}},
                  {"status",
                   {{"state", "ready"},
                    {"sequence", ++sequence},
                    {"cold_remaining_ms", 0}}}};
  return {
      "PUT",
      "/instances/" + traits.id,
      {{"Host", controlAddress.text()}, {"Content-Type", "application/json"}},
      beat.dump()};
}

bool Worker::tell(const Request &message) {
  const Answer answer = call(controlAddress, message, BeatLimit);
  record.line("worker " + traits.id + ": " + message.method + " " +
              message.target + " " + message.body + " is answered " +
              std::to_string(answer.status));
  return answer.status >= 200 && answer.status < 300;
}

void Worker::startBeats() {
  beats = std::thread([this] {
    while (!isLeaving && !hasEnded) {
      tell(nextBeat());
      const TimePoint next = std::chrono::steady_clock::now() + BeatInterval;
      while (std::chrono::steady_clock::now() < next && !isLeaving && !hasEnded)
        pause(Milliseconds(10));
    }
  });
}

bool Worker::leave() {
  isLeaving = true;
  if (beats.joinable())
    beats.join();
  return tell({"DELETE",
               "/instances/" + traits.id,
               {{"Host", controlAddress.text()}},
               ""});
}

void Worker::end() {
  if (hasEnded.exchange(true))
    return;
  if (beats.joinable())
    beats.join();
  server->stop();
  record.line("worker " + traits.id + ": ends with " + std::to_string(atWork) +
              " requests at work");
}

std::vector<Run> Worker::runs() {
  const std::lock_guard lock(mutex);
  return allRuns;
}

Answer Worker::serve(const Request &request) {
  const std::string load = std::to_string(atWork) + ",0,9,100";
  if (request.path() == "/health")
    return {isLeaving ? 503 : 200,
            {{"X-Plantainhatch-Instance-Id", traits.id},
             {"X-Plantainhatch-Server-Load", load}},
            ""};
  const std::string expected =
      headerOf(request.headers, "X-Plantainhatch-Expected-Instance");
  if (!expected.empty() && expected != traits.id)
    return {421, {{"X-Plantainhatch-Instance-Id", traits.id}}, ""};
  return work(request);
}

bool Worker::drawHang() {
  const std::lock_guard lock(mutex);
  return std::uniform_real_distribution<double>(0, 1)(random) < hangShare;
}

Answer Worker::work(const Request &request) {
  const std::string id = headerOf(request.headers, AttemptId);
  record.line("worker " + traits.id + " of " + traits.service + ": runs " + id +
              " of a caller of " +
              headerOf(request.headers, "X-Plantainhatch-Caller-Service"));
  {
    const std::lock_guard lock(mutex);
    allRuns.push_back(
        {id, record.seconds(),
         headerOf(request.headers, "X-Plantainhatch-Caller-Service")});
  }
  ++atWork;
  const std::string deadline =
      headerOf(request.headers, "X-Plantainhatch-Deadline-Milliseconds");
  const bool isHanging = drawHang() && !deadline.empty();
  // A worker stops work at the deadline that it was given.
  pause(isHanging ? Milliseconds(std::stol(deadline)) : traits.workTime);
  if (!hasEnded)
    --atWork;
  return {isHanging ? 504 : 200,
          {{AttemptId, id}, {Signature, traits.id}},
          "answer to " + id};
}

Site::Site(Record &recordFile, const std::string &folder)
    : record(recordFile), temporary(folder),
      storeAddress(freeAddress(hostOf(0))),
      storeServer(std::make_unique<Store>(storeAddress)) {}

std::string Site::hostOf(std::size_t n) const {
  // A network of its own for each process, so that cases can run side by side.
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(pid / 250 % 250 + 2) + "." +
         std::to_string(pid % 250 + 1) + "." + std::to_string(n + 1);
}

Machine &Site::addMachine(const std::string &zone, const std::string &service) {
  machines.push_back(std::make_unique<Machine>());
  Machine &machine = *machines.back();
  const std::string host = hostOf(machines.size());
  machine.zone = zone;
  machine.service = service;
  for (Address *const it : {&machine.outbound, &machine.inbound, &machine.ready,
                            &machine.control, &machine.worker})
    *it = freeAddress(host);
  machine.metrics = {host, 9464};
  machine.peers = freeAddress(host);
  const std::string name =
      temporary + "/node-" + std::to_string(machines.size());
  machine.settingsFile = name + ".json";
  writeSettings(machine);
  machine.node = std::make_unique<Node>(machine.settingsFile, name + ".log");
  record.line("machine " + std::to_string(machines.size()) + ": zone " + zone +
              ", service " + service + ", outbound " + machine.outbound.text() +
              ", worker " + machine.worker.text());
  return machine;
}

void Site::writeSettings(const Machine &machine) const {
  std::ofstream(machine.settingsFile)
      << render(readFile(Template),
                {{"zone", machine.zone},
                 {"ip_address", machine.peers.host},
                 {"internal_port_range.0", std::to_string(machine.peers.port)},
                 {"listen_addresses.outbound", machine.outbound.text()},
                 {"listen_addresses.inbound", machine.inbound.text()},
                 {"listen_addresses.ready", machine.ready.text()},
                 {"listen_addresses.control", machine.control.text()},
                 {"platform.address", storeAddress.text()},
                 {"application_address", machine.worker.text()},
                 {"service", machine.service},
                 {"bounds.grace_s", graceSeconds},
                 {"bounds.cold_overage", "1.5"},
                 {"bounds.cold_slack", "5"},
                 {"bounds.budget_ratio", "0.2"},
                 {"bounds.budget_extra_tries", "60"},
                 {"bounds.probes_per_s", "60"}});
}

Worker &Site::addWorker(const Machine &machine, Milliseconds workTime) {
  workers.push_back(std::make_unique<Worker>(
      record, machine.worker, machine.control,
      Worker::Traits{"i-" + std::to_string(workers.size() + 1), machine.service,
                     machine.zone, workTime}));
  workers.back()->startBeats();
  return *workers.back();
}

bool Site::start(const std::vector<Place> &places, Milliseconds workTime) {
  for (const Place &it : places)
    addMachine(it.zone, it.service).node->start();
  for (const auto &machine : machines) {
    if (!waitUntilReady(*machine))
      return false;
    addWorker(*machine, workTime);
  }
  // Until each node knows the workers of the others.
  pause(Milliseconds(3000));
  return true;
}

bool Site::waitUntilReady(const Machine &machine) {
  for (int n = 0; n < 200; ++n) {
    if (call(machine.ready,
             {"GET", "/readiness", {{"Host", machine.ready.text()}}, ""},
             Milliseconds(500))
            .status == 200)
      return true;
    pause(Milliseconds(50));
  }
  return false;
}

std::string makeConfiguration(const std::vector<std::string> &services) {
  json routes = json::object();
  json traits = json::object();
  for (const std::string &service : services) {
    const auto addRoute = [&](const std::string &name, const char *kind) {
      std::string prefix = "/";
      prefix.append(service).append(name);
      routes[prefix] = {{"host", "shop.example"}, {"prefix", prefix},
                        {"kind", kind},           {"timeout_ms", 1200},
                        {"attempts", 2},          {"priority", 1},
                        {"service", service},     {"target_latency_ms", 400}};
    };
    addRoute("/read/", "safe");
    addRoute("/write/", "unsafe");
    traits[service] = {{"health_check_path", "/health"},
                       {"connection_limit", 240},
                       {"protocol", "h1"},
                       {"tls", false},
                       {"cold_start_s", 3.0},
                       {"cold_per_s", 15.0}};
  }
  return json{{"version", 7},
              {"routes", routes},
              {"services", traits},
              {"limits",
               {{"header_bytes", 16384},
                {"body_bytes", 67108864},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

Request makeAttempt(const std::string &method, const std::string &path,
                    const std::string &id, Milliseconds deadline) {
  return {method,
          path,
          {{"Host", "shop.example"},
           {AttemptId, id},
           {"X-Plantainhatch-Deadline-Milliseconds",
            std::to_string(deadline.count())}},
          method == "GET" ? "" : "order " + id};
}

bool isTroubled() {
  const char *const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void pause(Milliseconds time) { std::this_thread::sleep_for(time); }

int runWith(int argc, char **argv,
            int (*runCase)(Record &record, const std::string &folder)) {
  if (argc != 3)
    return 2;
  try {
    Record record(argv[1]);
    return runCase(record, argv[2]);
  } catch (const std::exception &error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}

} // namespace review
