#include "standins/Platform.h"

#include "connection/Timer.h"

#include <glib.h>

namespace plantainhatch::test {

namespace {

using nlohmann::json;

const std::string Tables = "/v1/tables/";

std::string unescape(const std::string &text) {
  const std::unique_ptr<gchar, decltype(&g_free)> plain(
      g_uri_unescape_string(text.c_str(), nullptr), g_free);
  return plain ? plain.get() : text;
}

std::string parameter(const std::string &target, const std::string &name) {
  const auto at = target.find(name + "=");
  if (target.find('?') == std::string::npos || at == std::string::npos)
    return {};
  const auto start = at + name.size() + 1;
  return unescape(target.substr(start, target.find('&', start) - start));
}

} // namespace

Checked<std::unique_ptr<Platform>> Platform::start(const Address &address) {
  auto platform = std::make_unique<Platform>();
  auto server = HttpServer::listen(
      address, "listen", [raw = platform.get()](const IncomingCallPtr &call) {
        raw->serve(call);
      });
  if (!server)
    return std::move(server).error();
  platform->server = std::move(server).value();
  return platform;
}

void Platform::serve(const IncomingCallPtr &call) {
  if (call->request().path().starts_with("/standin/")) {
    control(call);
    return;
  }
  if (mode == "down") {
    call->reply(503, {}, "down\n");
    return;
  }
  countArrival(call->request());
  if (mode != "late" || !isHeld(call->request())) {
    carryOut(call);
    return;
  }
  const auto timer = std::make_shared<Timer>();
  ++delayed;
  timer->startOnce(delay, [this, timer, call] {
    --delayed;
    carryOut(call);
  });
}

bool Platform::isHeld(const CallRequest &request) const {
  return heldPart.empty() ||
         (request.method != "GET" &&
          request.target.find(heldPart) != std::string::npos);
}

void Platform::countArrival(const CallRequest &request) {
  const std::string path(request.path());
  static const std::string Suffix = "/transactions";
  if (path.starts_with(Tables) && path.ends_with(Suffix))
    ++arrivals[unescape(path.substr(Tables.size(), path.size() - Tables.size() -
                                                       Suffix.size()))];
  if (request.method == "PUT")
    ++arrivals["objects" +
               path.substr(path.rfind('/'), path.rfind('-') - path.rfind('/'))];
}

void Platform::carryOut(const IncomingCallPtr &call) {
  static const std::string Objects = "/v1/objects/";
  const std::string path(call->request().path());
  if (path.starts_with(Tables))
    serveTable(call, path.substr(Tables.size()));
  else if (path.starts_with(Objects))
    serveObject(call, unescape(path.substr(Objects.size())));
  else
    call->reply(404, {}, "no such path\n");
}

void Platform::control(const IncomingCallPtr &call) {
  if (call->request().path() == "/standin/stats") {
    call->reply(200, {},
                json{{"reads", reads},
                     {"writes", writes},
                     {"delayed", delayed},
                     {"arrivals", arrivals}}
                    .dump());
    return;
  }
  if (call->request().path() == "/standin/set-row") {
    const json order = json::parse(call->request().body, nullptr, false);
    tables[order.at("table")][order.at("key")] = {order.at("value"),
                                                  std::to_string(nextTag++)};
    call->reply(200, {}, "{}");
    return;
  }
  const json order = json::parse(call->request().body, nullptr, false);
  if (!order.is_object()) {
    call->reply(400, {}, "not JSON\n");
    return;
  }
  mode = order.value("mode", mode);
  delay = std::chrono::milliseconds(order.value("delayMs", 0));
  losses = order.value("losses", -1);
  heldPart = order.value("only", "");
  call->reply(200, {}, "{}");
}

void Platform::serveTable(const IncomingCallPtr &call,
                          const std::string &path) {
  const auto slash = path.find('/');
  const std::string rest =
      slash == std::string::npos ? "" : path.substr(slash + 1);
  Table &table = tables[unescape(path.substr(0, slash))];
  if (rest == "transactions" && call->request().method == "POST") {
    transact(call, table);
  } else if (rest == "rows") {
    listRows(call, table);
  } else if (rest.starts_with("rows/")) {
    ++reads;
    const auto it = table.find(unescape(rest.substr(5)));
    if (it == table.end())
      answer(call, 404, {}, "no such row\n", false);
    else
      answer(call, 200, {{"ETag", it->second.etag}}, it->second.value, false);
  } else {
    call->reply(404, {}, "no such path\n");
  }
}

void Platform::listRows(const IncomingCallPtr &call, const Table &table) {
  ++reads;
  const std::string &target = call->request().target;
  const std::string prefix = parameter(target, "prefix");
  const std::string limitText = parameter(target, "limit");
  const std::size_t limit =
      limitText.empty() ? table.size() : std::stoul(limitText);
  json rows = json::array();
  for (auto it = table.lower_bound(prefix);
       it != table.end() && it->first.starts_with(prefix) &&
       rows.size() < limit;
       ++it)
    rows.push_back({{"key", it->first},
                    {"etag", it->second.etag},
                    {"value", it->second.value}});
  answer(call, 200, {}, json{{"rows", rows}}.dump(), false);
}

void Platform::transact(const IncomingCallPtr &call, Table &table) {
  ++writes;
  const json order = json::parse(call->request().body, nullptr, false);
  if (!order.is_object()) {
    call->reply(400, {}, "not JSON\n");
    return;
  }
  json conflicts = json::array();
  for (const json &check : order.value("checks", json::array())) {
    const auto it = table.find(check.at("key").get<std::string>());
    const json etag = it == table.end() ? json() : json(it->second.etag);
    if (etag != check.at("etag"))
      conflicts.push_back(check.at("key"));
  }
  if (!conflicts.empty()) {
    answer(call, 409, {}, json{{"conflicts", conflicts}}.dump(), true);
    return;
  }
  json etags = json::object();
  for (const json &put : order.value("puts", json::array())) {
    const std::string key = put.at("key");
    table[key] = {put.at("value").get<std::string>(),
                  std::to_string(nextTag++)};
    etags[key] = table[key].etag;
  }
  for (const json &key : order.value("deletes", json::array()))
    table.erase(key.get<std::string>());
  answer(call, 200, {}, json{{"etags", etags}}.dump(), true);
}

void Platform::serveObject(const IncomingCallPtr &call,
                           const std::string &name) {
  const auto it = objects.find(name);
  if (call->request().method == "PUT") {
    ++writes;
    if (it != objects.end() &&
        findHeader(call->request().headers, "If-None-Match")) {
      answer(call, 412, {}, "exists\n", true);
      return;
    }
    objects[name] = call->request().body;
    answer(call, 200, {}, "", true);
    return;
  }
  ++reads;
  if (it == objects.end())
    answer(call, 404, {}, "no such object\n", false);
  else
    answer(call, 200, {}, it->second, false);
}

void Platform::answer(const IncomingCallPtr &call, unsigned status,
                      const HeaderList &headers, const std::string &body,
                      bool isWrite) {
  if (mustLose(isWrite)) {
    call->abort();
    return;
  }
  if (mode != "slow") {
    call->reply(status, headers, body);
    return;
  }
  const auto timer = std::make_shared<Timer>();
  timer->startOnce(delay, [timer, call, status, headers, body] {
    call->reply(status, headers, body);
  });
}

bool Platform::mustLose(bool isWrite) {
  if (mode != "lose" || !isWrite || losses == 0)
    return false;
  if (losses > 0)
    --losses;
  return true;
}

} // namespace plantainhatch::test
