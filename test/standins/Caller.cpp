#include "standins/Caller.h"

#include "base/Digest.h"
#include "connection/GObjectPtr.h"
#include "connection/Timer.h"
#include "request/HeaderNames.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace plantainhatch::test {

namespace {

using nlohmann::json;

double toMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

json quantiles(const std::vector<Duration> &samples) {
  return {{"p50", toMs(quantileOf(samples, 0.5))},
          {"p99", toMs(quantileOf(samples, 0.99))},
          {"p999", toMs(quantileOf(samples, 0.999))}};
}

std::string headerOf(SoupMessage *message, const char *name) {
  const char *const value = soup_message_headers_get_one(
      soup_message_get_response_headers(message), name);
  return value == nullptr ? "" : value;
}

} // namespace

Duration quantileOf(std::vector<Duration> samples, double quantile) {
  if (samples.empty())
    return {};
  const auto rank =
      static_cast<std::size_t>(quantile * static_cast<double>(samples.size()));
  const auto it = samples.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(rank, samples.size() - 1));
  std::ranges::nth_element(samples, it);
  return *it;
}

json CallerReport::toJson() const {
  return {
      {"sent", sent},         {"answered", answered},
      {"notRun", notRun},     {"unknown", unknown},
      {"failed", failed},     {"cancelled", cancelled},
      {"wrong", wrong},       {"latencyMs", quantiles(latencies)},
      {"byTarget", byTarget}, {"refusalLatencyMs", quantiles(refusalLatencies)},
      {"statuses", statuses}, {"reasons", reasons},
      {"errors", errors}};
}

/** One call under way, owned by its callback. */
struct Caller::Call {
  Caller *caller = nullptr;
  GObjectPtr<SoupMessage> message;
  GObjectPtr<GCancellable> cancellable{g_cancellable_new()};
  Timer timer;
  TimePoint intended;
  std::string id;
  std::string target;
  std::string body;
  bool isCancelled = false;
};

Caller::Caller(CallerOptions newOptions)
    : options(std::move(newOptions)), session(makeSoupSession()),
      random(options.seed) {}

CallerReport Caller::run() {
  const TimePoint start = std::chrono::steady_clock::now();
  std::exponential_distribution<double> gap(options.rate);
  std::chrono::duration<double> next(gap(random));
  while (next < options.duration) {
    const TimePoint intended =
        start + std::chrono::duration_cast<Duration>(next);
    while (std::chrono::steady_clock::now() < intended) {
      Timer wake;
      wake.startOnce(intended - std::chrono::steady_clock::now(), [] {});
      g_main_context_iteration(nullptr, TRUE);
    }
    send(intended);
    next += std::chrono::duration<double>(gap(random));
  }
  while (pending > 0)
    g_main_context_iteration(nullptr, TRUE);
  return std::move(report);
}

void Caller::send(TimePoint intended) {
  auto *const call = new Call;
  const std::uint64_t n = ++report.sent;
  call->caller = this;
  call->intended = intended;
  call->id = "call-" + std::to_string(options.seed) + "-" + std::to_string(n);
  call->target =
      options.path + "/" + std::to_string(n) + "?n=" + std::to_string(n);
  if (options.method == "POST" || options.method == "PUT")
    call->body = "content of " + call->id;
  const Address &node = options.nodes[n % options.nodes.size()];
  const std::string uri = "http://" + node.toString() + call->target;
  call->message.reset(soup_message_new(options.method.c_str(), uri.c_str()));
  SoupMessageHeaders *const headers =
      soup_message_get_request_headers(call->message.get());
  soup_message_headers_append(headers, headers::RequestId, call->id.c_str());
  if (options.hasKeys)
    soup_message_headers_append(headers, "Idempotency-Key", call->id.c_str());
  if (!call->body.empty()) {
    const GBytesPtr bytes(g_bytes_new(call->body.data(), call->body.size()));
    soup_message_set_request_body_from_bytes(call->message.get(), "text/plain",
                                             bytes.get());
  }
  call->isCancelled = options.cancelEvery > 0 && n % options.cancelEvery == 0;
  std::uniform_int_distribution<int> early(0, 3);
  const Duration limit =
      call->isCancelled ? Duration(std::chrono::milliseconds(early(random)))
                        : Duration(options.timeout);
  call->timer.startOnce(
      limit, [call] { g_cancellable_cancel(call->cancellable.get()); });
  ++pending;
  soup_session_send_and_read_async(session.get(), call->message.get(),
                                   G_PRIORITY_DEFAULT, call->cancellable.get(),
                                   onDone, call);
}

void Caller::onDone(GObject *session, GAsyncResult *result, gpointer data) {
  const std::unique_ptr<Call> call(static_cast<Call *>(data));
  GError *error = nullptr;
  const GBytesPtr bytes(
      soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error));
  --call->caller->pending;
  if (bytes) {
    call->caller->finish(*call, toString(bytes.get()));
    return;
  }
  call->caller->fail(*call, error->message);
  g_error_free(error);
}

void Caller::fail(const Call &call, const std::string &error) {
  ++(call.isCancelled ? report.cancelled : report.failed);
  if (!call.isCancelled)
    ++report.errors[call.id + " to " + call.target + ": " + error];
}

void Caller::finish(const Call &call, const std::string &body) {
  const Duration latency = std::chrono::steady_clock::now() - call.intended;
  const unsigned status = soup_message_get_status(call.message.get());
  ++report.statuses[std::to_string(status)];
  const std::string outcome = headerOf(call.message.get(), headers::Outcome);
  if (outcome.empty()) {
    report.latencies.push_back(latency);
    ++report.answered;
    check(call, body);
    return;
  }
  report.refusalLatencies.push_back(latency);
  ++(outcome == "not-run" ? report.notRun : report.unknown);
  ++report.reasons[body.substr(0, body.find('\n'))];
}

void Caller::check(const Call &call, const std::string &body) {
  ++report.byTarget[headerOf(call.message.get(), "X-Target")];
  const std::string expected = "id=" + call.id + " path=" + call.target +
                               " body=" + digestOf(call.body) + "\n";
  if (body != expected ||
      headerOf(call.message.get(), headers::RequestId) != call.id)
    ++report.wrong;
}

} // namespace plantainhatch::test
