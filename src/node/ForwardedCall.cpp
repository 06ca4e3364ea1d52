#include "node/ForwardedCall.h"

#include "connection/AnswerRelay.h"
#include "request/ForwardProof.h"
#include "request/HeaderNames.h"
#include "request/HttpStatus.h"

#include <charconv>
#include <limits>
#include <sstream>

namespace plantainhatch {

namespace {

/** The ingress limits pauses in an answer to the rule's timeout. This timeout
 * only ends relays that the ingress has abandoned. */
constexpr std::chrono::minutes IdleTimeout{60};

/** Keeps the sum with the present time in range. */
constexpr std::chrono::milliseconds MaxDue{std::chrono::hours(24)};

std::string headerOf(const CallRequest &request, const char *name) {
  return findHeader(request.headers, name).value_or("");
}

std::optional<std::chrono::milliseconds> parseTimeout(const std::string &text) {
  std::int64_t ms = 0;
  const char *const end = text.data() + text.size();
  auto [it, ec] = std::from_chars(text.data(), end, ms);
  if (ec != std::errc() || it != end || ms <= 0)
    return std::nullopt;
  return std::chrono::milliseconds(ms);
}

std::optional<TimePoint> parseDue(const std::string &text) {
  std::int64_t ms = 0;
  const char *const end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, ms);
  if (ec != std::errc() || it != end || std::abs(ms) > MaxDue.count())
    return std::nullopt;
  return NodeServices::now() + std::chrono::milliseconds(ms);
}

unsigned parsePriority(const std::string &text) {
  unsigned priority = 0;
  std::from_chars(text.data(), text.data() + text.size(), priority);
  return priority;
}

/** The newest version if \p text is no number, as nothing shows that the call
 * is run by an older one. */
std::uint64_t parseVersion(const std::string &text) {
  std::uint64_t version = 0;
  const char *const end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, version);
  return ec == std::errc() && it == end
             ? version
             : std::numeric_limits<std::uint64_t>::max();
}

std::string formatLoad(const LoadReport &load) {
  std::ostringstream text;
  text << load.inFlight << " " << load.limit << " " << load.latencyUs << " "
       << load.slowdownPercent << " " << load.isCold << " "
       << load.failurePercent;
  return text.str();
}

/** One forwarded call. Pending callbacks keep it alive. */
class ForwardedCall
    : public boost::intrusive_ref_counter<ForwardedCall,
                                          boost::thread_unsafe_counter> {
public:
  ForwardedCall(NodeServices &services, GateTask &gate,
                IncomingCallPtr incoming, std::function<void()> onDone)
      : services(services), gate(gate), incoming(std::move(incoming)),
        onDone(std::move(onDone)) {}

  void start() {
    const CallRequest &original = incoming->request();
    const auto timeout =
        parseTimeout(headerOf(original, headers::NodeTimeoutMs));
    if (!timeout || !verifyProof()) {
      services.metrics.add("forward_rejected_total");
      refuse(httpStatus::Forbidden, "proof");
      return;
    }
    DispatchRequest dispatchRequest;
    dispatchRequest.request = makeRequest();
    dispatchRequest.service = headerOf(original, headers::Service);
    dispatchRequest.fingerprint =
        fingerprintOf(*dispatchRequest.request, dispatchRequest.service);
    dispatchRequest.deadline = NodeServices::now() + *timeout;
    dispatchRequest.mayQueue = headerOf(original, headers::MayQueue) == "1";
    dispatchRequest.isRepeat = headerOf(original, headers::Repeat) == "1";
    dispatchRequest.needsFreshConnection =
        headerOf(original, headers::FreshConnection) == "1";
    dispatchRequest.priority =
        parsePriority(headerOf(original, headers::Priority));
    dispatchRequest.version =
        parseVersion(headerOf(original, headers::Version));
    if (const auto wait =
            parseTimeout(headerOf(original, headers::MaxColdWaitMs)))
      dispatchRequest.maxColdWait = *wait;
    dispatchRequest.kind = headerOf(original, headers::Kind);
    dispatchRequest.isNested = headerOf(original, headers::Nested) == "1";
    dispatchRequest.dueAt = parseDue(headerOf(original, headers::DueMs));
    const boost::intrusive_ptr<ForwardedCall> self(this);
    const GateCallPtr call = gate.dispatch(
        std::move(dispatchRequest),
        [self](DispatchResult result) { self->onResult(std::move(result)); });
    if (!isAnswered)
      incoming->onGone([self, call] {
        call->cancel();
        self->finish();
      });
  }

private:
  NodeServices &services;
  GateTask &gate;
  IncomingCallPtr incoming;
  std::function<void()> onDone;
  bool isAnswered = false;

  /** Verifies that a node of the cluster has forwarded the call, and if so,
   * advances the hybrid clock to that node's timestamp. */
  bool verifyProof() {
    const CallRequest &request = incoming->request();
    const auto time = HybridTime::parse(headerOf(request, headers::Time));
    if (!time)
      return false;
    const ForwardProofFields proofFields{
        headerOf(request, headers::Service), *time,
        headerOf(request, headers::NodeTimeoutMs),
        services.settings.forwardAddress().toString()};
    CallRequest signedRequest = request;
    signedRequest.id = headerOf(request, headers::NodeRequestId);
    if (!isForwardProofValid(services.settings.key, signedRequest, proofFields,
                             headerOf(request, headers::Proof),
                             NodeServices::wallNow()))
      return false;
    services.observe(*time);
    return true;
  }

  std::shared_ptr<const CallRequest> makeRequest() const {
    auto request = std::make_shared<CallRequest>(incoming->request());
    request->id = headerOf(*request, headers::NodeRequestId);
    removeHopByHopHeaders(request->headers);
    return request;
  }

  /** Headers that are added to every answer to the ingress. */
  HeaderList nodeHeaders() {
    return {{headers::Load, formatLoad(gate.load())},
            {headers::Time, services.stamp().toString()},
            {services.callProtocol.requestIdHeader,
             headerOf(incoming->request(), headers::NodeRequestId)}};
  }

  void onResult(DispatchResult result) {
    isAnswered = true;
    if (auto *const answer = std::get_if<DispatchAnswer>(&result))
      relay(std::move(*answer));
    else if (const auto *const refused = std::get_if<DispatchRefusal>(&result))
      refuse(httpStatus::ServiceUnavailable,
             std::string(toString(refused->refusal)));
    else
      fail(std::get<DispatchFailure>(result).reason);
  }

  void relay(DispatchAnswer answer) {
    removeHeader(answer.head.headers, services.callProtocol.requestIdHeader);
    for (auto &header : nodeHeaders())
      answer.head.headers.push_back(std::move(header));
    const boost::intrusive_ptr<ForwardedCall> self(this);
    AnswerRelay::start(
        incoming, answer.head, answer.source, IdleTimeout,
        [self](RelayResult /*result*/) { self->finish(); }, nullptr);
  }

  /** Answers that the call was not run. */
  void refuse(unsigned status, const std::string &reason) {
    isAnswered = true;
    HeaderList list = nodeHeaders();
    list.emplace_back(headers::Outcome, toString(Outcome::NotRun));
    list.emplace_back(headers::Reason, reason);
    incoming->reply(status, list, reason + "\n");
    finish();
  }

  /** Answers that the outcome is unknown. */
  void fail(const std::string &reason) {
    HeaderList list = nodeHeaders();
    list.emplace_back(headers::Outcome, toString(Outcome::Unknown));
    list.emplace_back(headers::Reason, reason);
    incoming->reply(httpStatus::BadGateway, list, reason + "\n");
    finish();
  }

  void finish() {
    if (const auto action = std::exchange(onDone, nullptr))
      action();
  }
};

} // namespace

bool isForwarded(const CallRequest &request) {
  return findHeader(request.headers, headers::Proof).has_value();
}

void serveForwardedCall(NodeServices &services, GateTask &gate,
                        const IncomingCallPtr &incoming,
                        std::function<void()> onDone) {
  const boost::intrusive_ptr<ForwardedCall> call(
      new ForwardedCall(services, gate, incoming, std::move(onDone)));
  call->start();
}

} // namespace plantainhatch
