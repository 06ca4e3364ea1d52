#include "standins/Target.h"

#include "base/Digest.h"
#include "request/HeaderNames.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <vector>

namespace plantainhatch::test {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds AnnounceInterval{500};
constexpr std::uint64_t BundleChunk = 64UL * 1024;
/** Between the end of the connections and that of the listening socket. */
constexpr std::chrono::milliseconds SlowCrash{60};
constexpr double ColdFactor = 3;
constexpr double SlowFactor = 10;

std::string makeBootId() {
  const std::unique_ptr<gchar, decltype(&g_free)> id(g_uuid_string_random(),
                                                     g_free);
  return id.get();
}

std::uint64_t numberAfter(const std::string &path, const std::string &prefix) {
  const auto at = path.find(prefix);
  return at == std::string::npos
             ? 0
             : std::strtoull(path.c_str() + at + prefix.size(), nullptr, 10);
}

} // namespace

Checked<std::unique_ptr<Target>> Target::start(TargetOptions options) {
  std::unique_ptr<Target> target(new Target(std::move(options)));
  auto server = HttpServer::listen(
      target->options.listen, "listen",
      [raw = target.get()](const IncomingCallPtr &call) { raw->serve(call); });
  if (!server)
    return std::move(server).error();
  target->server = std::move(server).value();
  if (!target->options.node.isEmpty()) {
    target->announce();
    target->announceTimer.startRepeating(
        AnnounceInterval, [raw = target.get()] { raw->announce(); });
  }
  return target;
}

Target::Target(TargetOptions newOptions)
    : options(std::move(newOptions)), session(makeSoupSession()),
      bootId(makeBootId()), random(options.seed) {}

void Target::drain(std::function<void()> done) {
  announceTimer.stop();
  post("/plantainhatch/v1/leave", {{"bootId", bootId}});
  // One more turn lets the last answer leave.
  drainTimer.startRepeating(std::chrono::milliseconds(20),
                            [this, done = std::move(done)] {
                              if (running == 0 && std::exchange(isIdle, true))
                                done();
                            });
}

void Target::announce() {
  post("/plantainhatch/v1/announce", {{"service", options.service},
                                      {"address", options.listen.toString()},
                                      {"slots", options.slots},
                                      {"connections", options.connections},
                                      {"coldSlots", options.coldSlots},
                                      {"bootId", bootId},
                                      {"loadPath", "/load"}});
}

void Target::post(const std::string &path, const json &body) {
  const std::string uri = "http://" + options.node.toString() + path;
  const GObjectPtr<SoupMessage> message(soup_message_new("POST", uri.c_str()));
  const std::string text = body.dump();
  const GBytesPtr bytes(g_bytes_new(text.data(), text.size()));
  soup_message_set_request_body_from_bytes(message.get(), "application/json",
                                           bytes.get());
  soup_session_send_and_read_async(
      session.get(), message.get(), G_PRIORITY_DEFAULT, nullptr,
      [](GObject *source, GAsyncResult *result, gpointer) {
        const GBytesPtr answer(soup_session_send_and_read_finish(
            SOUP_SESSION(source), result, nullptr));
      },
      nullptr);
}

void Target::serve(const IncomingCallPtr &call) {
  const std::string path(call->request().path());
  if (path.starts_with("/standin/"))
    control(call);
  else if (path == "/load")
    call->reply(
        200, {{"Content-Type", "application/json"}},
        json{{"inFlight", options.loadLie < 0 ? static_cast<int>(running)
                                              : options.loadLie}}
            .dump());
  else
    run(call);
}

void Target::control(const IncomingCallPtr &call) {
  const std::string path(call->request().path());
  if (path == "/standin/stats") {
    call->reply(200, {},
                json{{"runs", runs},
                     {"peak", peak},
                     {"running", running},
                     {"overruns", overruns},
                     {"cancelled", cancelled},
                     {"answering", answering},
                     {"bootId", bootId},
                     {"runsByKey", runsByKey}}
                    .dump());
    return;
  }
  const json order = json::parse(call->request().body, nullptr, false);
  if (!order.is_object()) {
    call->reply(400, {}, "not JSON\n");
    return;
  }
  options.serviceMs = order.value("serviceMs", options.serviceMs);
  options.sheds = order.value("sheds", options.sheds);
  options.closesReused = order.value("closesReused", options.closesReused);
  options.loadLie = order.value("loadLie", options.loadLie);
  options.bodyMs = order.value("bodyMs", options.bodyMs);
  options.breaksAll = order.value("breaksAll", options.breaksAll);
  options.switchMs = order.value("switchMs", options.switchMs);
  if (options.switchMs > 0)
    switchTimer.startRepeating(std::chrono::milliseconds(options.switchMs),
                               [this] { isSlow = !isSlow; });
  if (order.contains("warmAfter"))
    options.warmAfter =
        static_cast<unsigned>(runs) + order.at("warmAfter").get<unsigned>();
  call->reply(200, {}, "{}");
}

void Target::run(const IncomingCallPtr &call) {
  const CallRequest &request = call->request();
  if (options.sheds) {
    call->reply(503, {{headers::Outcome, "not-run"}}, "shed\n");
    return;
  }
  if (options.closesReused && usesByConnection[call->connectionName()]++ > 0) {
    countRun(request);
    call->abort();
    return;
  }
  countRun(request);
  if (options.breaksAll) {
    call->abort();
    return;
  }
  if (request.target.find("crash-slowly") != std::string::npos) {
    crashTimer.startOnce(SlowCrash, [] { _exit(1); });
    call->abort();
    return;
  }
  if (request.target.find("crash") != std::string::npos)
    _exit(1);
  ++running;
  peak = std::max(peak, running);
  if (running > bears()) {
    ++overruns;
    if (options.fallsOver)
      _exit(2);
  }
  const auto isOver = std::make_shared<bool>(false);
  call->onGone([this, isOver] {
    if (std::exchange(*isOver, true))
      return;
    ++cancelled;
    --running;
  });
  const auto timer = std::make_shared<Timer>();
  timer->startOnce(drawServiceTime(), [this, timer, call, isOver] {
    if (std::exchange(*isOver, true))
      return;
    finishRun(call);
  });
}

void Target::finishRun(const IncomingCallPtr &call) {
  const CallRequest &request = call->request();
  const std::string path(request.path());
  call->onGone(nullptr);
  if (path.find("/bundle/") != std::string::npos) {
    const std::uint64_t size = numberAfter(path, "/bundle/");
    const std::uint64_t breakAt = numberAfter(request.target, "break=");
    AnswerHead head{200, {{"Content-Type", "application/octet-stream"}}, size};
    if (request.target.find("chunked") != std::string::npos)
      head.contentLength.reset();
    call->onGone([this] { --running; });
    call->startStream(head);
    sendBundle(call, size, 0, breakAt);
    return;
  }
  if (!options.calls.empty()) {
    callNext(call);
    return;
  }
  const std::string body =
      "id=" + findHeader(request.headers, headers::RequestId).value_or("") +
      " path=" + request.target + " body=" + digestOf(request.body) + "\n";
  const HeaderList list{{"Content-Type", "text/plain"},
                        {"X-Target", options.listen.toString()}};
  if (options.bodyMs > 0) {
    answerInHalves(call, list, body);
    return;
  }
  --running;
  call->reply(200, list, request.method == "HEAD" ? std::string() : body);
}

void Target::answerInHalves(const IncomingCallPtr &call, const HeaderList &list,
                            const std::string &body) {
  const auto isGone = std::make_shared<bool>(false);
  ++answering;
  call->onGone([this, isGone] {
    *isGone = true;
    ++cancelled;
    --running;
    --answering;
  });
  call->startStream({200, list, body.size()});
  const std::size_t half = body.size() / 2;
  const GBytesPtr first(g_bytes_new(body.data(), half));
  const auto timer = std::make_shared<Timer>();
  call->writeChunk(first.get(), [] {});
  timer->startOnce(std::chrono::milliseconds(options.bodyMs),
                   [this, timer, call, isGone, rest = body.substr(half)] {
                     if (*isGone)
                       return;
                     const GBytesPtr second(
                         g_bytes_new(rest.data(), rest.size()));
                     call->writeChunk(second.get(), [this, call, isGone] {
                       if (*isGone)
                         return;
                       call->onGone(nullptr);
                       --running;
                       --answering;
                       call->endStream();
                     });
                   });
}

/** A call that a target makes for a call of its own, owned by its callback. */
struct Target::NextCall {
  Target *target = nullptr;
  IncomingCallPtr call;
  GObjectPtr<SoupMessage> message;
  GObjectPtr<GCancellable> cancellable;
};

void Target::callNext(const IncomingCallPtr &call) {
  auto *const next = new NextCall{
      this, call,
      GObjectPtr<SoupMessage>(soup_message_new("GET", options.calls.c_str())),
      GObjectPtr<GCancellable>(g_cancellable_new())};
  const auto timeout = findHeader(call->request().headers, headers::TimeoutMs);
  if (timeout)
    soup_message_headers_append(
        soup_message_get_request_headers(next->message.get()),
        headers::TimeoutMs, timeout->c_str());
  const auto id = findHeader(call->request().headers, headers::RequestId);
  if (id)
    soup_message_headers_append(
        soup_message_get_request_headers(next->message.get()),
        headers::RequestId, id->c_str());
  call->onGone([this, next] {
    ++cancelled;
    g_cancellable_cancel(next->cancellable.get());
  });
  soup_session_send_and_read_async(
      session.get(), next->message.get(), G_PRIORITY_DEFAULT,
      next->cancellable.get(),
      [](GObject *source, GAsyncResult *result, gpointer data) {
        const std::unique_ptr<NextCall> owned(static_cast<NextCall *>(data));
        const GBytesPtr body(soup_session_send_and_read_finish(
            SOUP_SESSION(source), result, nullptr));
        --owned->target->running;
        owned->call->onGone(nullptr);
        if (g_cancellable_is_cancelled(owned->cancellable.get()) != FALSE)
          return;
        if (body)
          owned->call->reply(soup_message_get_status(owned->message.get()), {},
                             toString(body.get()));
        else
          owned->call->reply(502, {}, "the next call failed\n");
      },
      next);
}

void Target::sendBundle(const IncomingCallPtr &call, std::uint64_t left,
                        std::uint64_t offset, std::uint64_t breakAt) {
  if (breakAt > 0 && offset >= breakAt)
    _exit(3);
  if (left == 0) {
    call->onGone(nullptr);
    call->endStream();
    --running;
    return;
  }
  const std::uint64_t n = std::min(left, BundleChunk);
  std::string part(n, '\0');
  for (std::uint64_t it = 0; it < n; ++it)
    part[it] = bundleByte(offset + it);
  const GBytesPtr bytes(g_bytes_new(part.data(), part.size()));
  call->writeChunk(bytes.get(), [this, call, left, n, offset, breakAt] {
    sendBundle(call, left - n, offset + n, breakAt);
  });
}

void Target::countRun(const CallRequest &request) {
  ++runs;
  const auto key = findHeader(request.headers, "Idempotency-Key");
  if (!key)
    return;
  ++runsByKey[*key];
  if (options.journal.empty())
    return;
  std::ofstream journal(options.journal, std::ios::app);
  journal << *key << " "
          << findHeader(request.headers, headers::RequestId).value_or("")
          << "\n"
          << std::flush;
}

Duration Target::drawServiceTime() {
  std::exponential_distribution<double> tail(2.0 / options.serviceMs);
  double ms = options.serviceMs <= 0 ? 0 : options.serviceMs / 2 + tail(random);
  if (options.isSteady)
    ms = options.serviceMs;
  if (runs <= options.warmAfter)
    ms *= ColdFactor;
  if (isSlow)
    ms *= SlowFactor;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

} // namespace plantainhatch::test
