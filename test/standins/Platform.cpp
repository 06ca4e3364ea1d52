#include "standins/Platform.h"

#include "base/Base64.h"

#include <nlohmann/json.hpp>

#include <glib.h>

#include <algorithm>
#include <array>
#include <set>

namespace plantainhatch::test {

namespace {

using nlohmann::json;

constexpr std::size_t MaxEntries = 100;
constexpr std::size_t MaxRows = 500;
constexpr std::size_t MaxNameBytes = 200;

std::string unescape(const std::string &text) {
  const std::unique_ptr<gchar, decltype(&g_free)> plain(
      g_uri_unescape_string(text.c_str(), nullptr), g_free);
  return plain ? plain.get() : text;
}

std::string parameter(const std::string &target, const std::string &name) {
  std::string query = target.substr(std::min(target.find('?'), target.size()));
  if (!query.empty())
    query.front() = '&';
  const auto at = query.find("&" + name + "=");
  if (at == std::string::npos)
    return {};
  const auto start = at + name.size() + 2;
  return unescape(query.substr(start, query.find('&', start) - start));
}

std::uint64_t number(const std::string &target, const std::string &name,
                     std::uint64_t otherwise) {
  const std::string text = parameter(target, name);
  return text.empty() ? otherwise : std::stoull(text);
}

json makeRow(const std::string &table, const std::string &part,
             const std::string &key) {
  return {{"table", table}, {"part", part}, {"key", key}};
}

/** Whether an entry of a transaction has the shape that the protocol asks. */
bool isEntry(const json &entry, const std::string &part) {
  const auto isText = [&](const char *name) {
    return entry.contains(name) && entry[name].is_string() &&
           entry[name].get_ref<const std::string &>().size() <= MaxNameBytes;
  };
  return entry.is_object() && isText("table") && isText("part") &&
         isText("key") && entry["part"] == part;
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
          (request.target + request.body).find(heldPart) != std::string::npos);
}

void Platform::countArrival(const CallRequest &request) {
  const std::string path(request.path());
  if (path == "/rows-tx") {
    const json order = json::parse(request.body, nullptr, false);
    std::set<std::string> names;
    for (const char *const list : {"expected", "writes", "remove"})
      if (order.is_object() && order.contains(list))
        for (const json &entry : order[list])
          names.insert(entry.value("table", ""));
    for (const std::string &name : names)
      ++arrivals[name];
  }
  if (request.method == "PUT")
    ++arrivals["objects" +
               path.substr(path.rfind('/'), path.rfind('-') - path.rfind('/'))];
}

void Platform::carryOut(const IncomingCallPtr &call) {
  const std::string path(call->request().path());
  if (path == "/rows-tx")
    transact(call);
  else if (path == "/rows-get")
    readRows(call);
  else if (path == "/rows-parts")
    listParts(call);
  else if (path == "/rows-feed")
    follow(call);
  else if (path.starts_with("/blob-"))
    serveObject(call, path);
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
  if (call->request().path() == "/standin/row") {
    const std::string &target = call->request().target;
    const Table &table = tables[parameter(target, "table")];
    const auto it = table.find({"", parameter(target, "key")});
    if (it == table.end())
      call->reply(404, {}, "no such row\n");
    else
      call->reply(200, {}, it->second.value);
    return;
  }
  if (call->request().path() == "/standin/set-row") {
    setRow(call);
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
  forgets = order.value("forgets", forgets);
  if (order.value("stale", past.has_value()) != past.has_value())
    past = past ? std::nullopt : std::optional(Snapshot{tables, version});
  if (order.value("copy", false))
    takeCopy();
  if (order.value("restore", false) && copy)
    restore();
  if (order.value("dropHistory", false)) {
    history.clear();
    historyStart = version;
  }
  call->reply(200, {}, "{}");
}

void Platform::takeCopy() {
  copy = Snapshot{tables, version};
  copiedObjects = objects;
}

void Platform::restore() {
  tables = copy->tables;
  version = copy->version;
  objects = copiedObjects;
  past.reset();
  std::erase_if(history,
                [this](const Change &it) { return it.version > version; });
  historyStart = std::min(historyStart, version);
  ++era;
  // Those that wait ask anew, as a store that starts knows none of them.
  for (const Follower &it : followers) {
    it.call->onGone(nullptr);
    it.call->abort();
  }
  followers.clear();
}

void Platform::setRow(const IncomingCallPtr &call) {
  const json order = json::parse(call->request().body, nullptr, false);
  ++version;
  write(order.at("table"), "", order.at("key"),
        order.contains("value")
            ? std::optional(order["value"].get<std::string>())
            : std::nullopt);
  wakeFollowers();
  call->reply(200, {}, "{}");
}

json Platform::stamped(json answer) const {
  return stamped(std::move(answer), version);
}

json Platform::stamped(json answer, std::uint64_t asOf) const {
  answer["version_number"] = asOf;
  answer["now_ms"] = g_get_monotonic_time() / G_TIME_SPAN_MILLISECOND;
  return answer;
}

void Platform::readRows(const IncomingCallPtr &call) {
  ++reads;
  const std::string &target = call->request().target;
  const std::string name = parameter(target, "table");
  const std::string part = parameter(target, "part");
  const std::string from = parameter(target, "from");
  const std::string end = parameter(target, "target");
  const std::size_t limit =
      std::min<std::size_t>(number(target, "limit", MaxRows), MaxRows);
  const Table &table = past ? past->tables[name] : tables[name];
  json rows = json::array();
  auto it = table.lower_bound({part, from});
  const auto isInRange = [&] {
    return it != table.end() && it->first.first == part &&
           (end.empty() || it->first.second < end);
  };
  for (; isInRange() && rows.size() < limit; ++it) {
    json row = makeRow(name, part, it->first.second);
    row["value"] = encodeBase64(it->second.value);
    row["version_number"] = it->second.version;
    rows.push_back(std::move(row));
  }
  const json body = stamped({{"rows", rows}, {"has_more", isInRange()}},
                            past ? past->version : version);
  answer(call, 200, {}, body.dump(), false);
}

void Platform::listParts(const IncomingCallPtr &call) {
  ++reads;
  const std::string name = parameter(call->request().target, "table");
  std::set<std::string> parts;
  for (const auto &[place, row] : tables[name])
    parts.insert(place.first);
  answer(call, 200, {}, stamped({{"parts", parts}, {"has_more", false}}).dump(),
         false);
}

void Platform::follow(const IncomingCallPtr &call) {
  ++reads;
  const std::string &target = call->request().target;
  Follower follower{call, parameter(target, "table"),
                    number(target, "after", 0), std::make_unique<Timer>()};
  if (forgets || follower.after < historyStart || follower.after > version) {
    answer(call, 410, {}, "{}", false);
    return;
  }
  if (tellChanges(follower, false))
    return;
  const std::chrono::milliseconds wait(number(target, "wait_ms", 0));
  followers.push_back(std::move(follower));
  const auto it = std::prev(followers.end());
  call->onGone([this, raw = call.get()] {
    std::erase_if(followers,
                  [&](const Follower &f) { return f.call.get() == raw; });
  });
  it->timer->startOnce(wait, [this, raw = call.get()] {
    const auto found = std::ranges::find_if(
        followers, [&](const Follower &f) { return f.call.get() == raw; });
    Follower ended = std::move(*found);
    followers.erase(found);
    tellChanges(ended, true);
  });
}

bool Platform::tellChanges(const Follower &follower, bool isWaitOver) {
  json rows = json::array();
  for (const Change &change : history) {
    if (change.table != follower.table || change.version <= follower.after)
      continue;
    json row = makeRow(change.table, change.part, change.key);
    row["version_number"] = change.version;
    if (change.value)
      row["value"] = encodeBase64(*change.value);
    else
      row["tombstone"] = true;
    rows.push_back(std::move(row));
  }
  if (rows.empty() && !isWaitOver)
    return false;
  follower.call->onGone(nullptr);
  answer(follower.call, 200, {}, stamped({{"rows", rows}}).dump(), false);
  return true;
}

void Platform::wakeFollowers() {
  std::erase_if(followers, [this](const Follower &follower) {
    return tellChanges(follower, false);
  });
}

json Platform::findConflicts(const json &expected) const {
  json conflicts = json::array();
  for (const json &check : expected) {
    std::uint64_t present = 0;
    const auto table = tables.find(check.at("table"));
    if (table != tables.end()) {
      const auto it = table->second.find({check.at("part"), check.at("key")});
      present = it == table->second.end() ? 0 : it->second.version;
    }
    if (present == check.at("version_number").get<std::uint64_t>())
      continue;
    json row = check;
    row["version_number"] = present;
    conflicts.push_back(std::move(row));
  }
  return conflicts;
}

void Platform::write(const std::string &table, const std::string &part,
                     const std::string &key, std::optional<std::string> value) {
  if (value)
    tables[table][{part, key}] = {*value, version};
  else
    tables[table].erase({part, key});
  history.push_back({version, table, part, key, std::move(value)});
}

void Platform::transact(const IncomingCallPtr &call) {
  ++writes;
  const json order = json::parse(call->request().body, nullptr, false);
  const auto list = [&](const char *name) {
    return order.is_object() ? order.value(name, json::array()) : json::array();
  };
  const json expected = list("expected");
  const json writeList = list("writes");
  const json removeList = list("remove");
  const std::size_t n = expected.size() + writeList.size() + removeList.size();
  std::string part;
  for (const json *const entries : {&removeList, &writeList, &expected})
    if (!entries->empty())
      part = entries->front().value("part", "");
  const bool isSound =
      n > 0 && n <= MaxEntries &&
      std::ranges::all_of(std::array{&expected, &writeList, &removeList},
                          [&](const json *entries) {
                            return std::ranges::all_of(
                                *entries, [&](const json &entry) {
                                  return isEntry(entry, part);
                                });
                          });
  if (!isSound) {
    call->reply(400, {}, "not a transaction\n");
    return;
  }
  const json conflicts = findConflicts(expected);
  if (!conflicts.empty()) {
    answer(call, 412, {}, stamped({{"rows", conflicts}}).dump(), true);
    return;
  }
  ++version;
  for (const json &entry : writeList)
    write(entry.at("table"), part, entry.at("key"),
          decodeBase64(entry.at("value")));
  for (const json &entry : removeList)
    write(entry.at("table"), part, entry.at("key"), std::nullopt);
  answer(call, 200, {}, stamped(json::object()).dump(), true);
  wakeFollowers();
}

void Platform::serveObject(const IncomingCallPtr &call,
                           const std::string &path) {
  const auto slash = path.find('/', 1);
  const std::string verb = path.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : unescape(path.substr(slash + 1));
  const auto it = objects.find(name);
  if (verb == "/blob-put" && call->request().method == "PUT") {
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
  if (verb != "/blob-get" || it == objects.end())
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
  HeaderList withEra = headers;
  if (era > 0)
    withEra.emplace_back("Store-Era", std::to_string(era));
  if (mode != "slow") {
    call->reply(status, withEra, body);
    return;
  }
  const auto timer = std::make_shared<Timer>();
  timer->startOnce(delay, [timer, call, status, withEra, body] {
    call->reply(status, withEra, body);
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
