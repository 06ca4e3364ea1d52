#include "node/RemoteDispatch.h"

#include "request/ForwardProof.h"
#include "request/HeaderNames.h"

#include <algorithm>
#include <sstream>

namespace plantainhatch {

namespace {

/** Subtracted from the timeout that is forwarded, so that the gate's answer
 * to a missed deadline arrives before this node's own deadline. */
constexpr std::chrono::milliseconds HopMargin{4};
constexpr std::chrono::milliseconds MinTimeout{1};

std::chrono::milliseconds forwardedTimeout(TimePoint deadline, TimePoint now) {
  const auto remaining =
      std::chrono::floor<std::chrono::milliseconds>(deadline - now);
  return std::max(MinTimeout, remaining - HopMargin);
}

HeaderList makeHeaders(NodeServices &services, const Candidate &candidate,
                       const DispatchRequest &dispatchRequest) {
  ForwardProofFields proofFields;
  proofFields.service = dispatchRequest.service;
  proofFields.time = services.stamp();
  proofFields.timeoutMs = std::to_string(
      forwardedTimeout(dispatchRequest.deadline, services.now()).count());
  proofFields.gate = candidate.callersAddress.toString();
  HeaderList list{{headers::NodeRequestId, dispatchRequest.request->id},
                  {headers::NodeTimeoutMs, proofFields.timeoutMs},
                  {headers::Service, proofFields.service},
                  {headers::Time, proofFields.time.toString()},
                  {headers::MayQueue, dispatchRequest.mayQueue ? "1" : "0"},
                  {headers::Repeat, dispatchRequest.isRepeat ? "1" : "0"},
                  {headers::FreshConnection,
                   dispatchRequest.needsFreshConnection ? "1" : "0"},
                  {headers::Priority, std::to_string(dispatchRequest.priority)},
                  {headers::Version, std::to_string(dispatchRequest.version)},
                  {headers::Proof,
                   makeForwardProof(services.settings.key,
                                    *dispatchRequest.request, proofFields)}};
  if (!dispatchRequest.kind.empty())
    list.emplace_back(headers::Kind, dispatchRequest.kind);
  if (dispatchRequest.isNested)
    list.emplace_back(headers::Nested, "1");
  if (dispatchRequest.dueAt)
    list.emplace_back(
        headers::DueMs,
        std::to_string(std::chrono::floor<std::chrono::milliseconds>(
                           *dispatchRequest.dueAt - services.now())
                           .count()));
  if (dispatchRequest.maxColdWait != std::chrono::milliseconds::max())
    list.emplace_back(headers::MaxColdWaitMs,
                      std::to_string(dispatchRequest.maxColdWait.count()));
  return list;
}

std::optional<LoadReport> parseLoad(const std::string &text) {
  LoadReport report;
  std::istringstream stream(text);
  stream >> report.inFlight >> report.limit >> report.latencyUs >>
      report.slowdownPercent >> report.isCold >> report.failurePercent;
  return stream ? std::optional(report) : std::nullopt;
}

} // namespace

AnswerSourcePtr RemoteDispatch::start(NodeServices &services,
                                      MeasureTask &measure,
                                      const Candidate &candidate,
                                      const DispatchRequest &dispatchRequest,
                                      GateCall::Receiver receiver) {
  const boost::intrusive_ptr<RemoteDispatch> self(new RemoteDispatch(
      services, measure, candidate.peersAddress, std::move(receiver)));
  const ExchangeOptions options{
      candidate.callersAddress,
      makeHeaders(services, candidate, dispatchRequest),
      dispatchRequest.needsFreshConnection};
  self->exchange = Exchange::start(
      services.session.get(), *dispatchRequest.request, options,
      [self](Exchange::Result result) { self->onHead(std::move(result)); });
  return self;
}

RemoteDispatch::RemoteDispatch(NodeServices &services, MeasureTask &measure,
                               Address gate, GateCall::Receiver receiver)
    : services(services), measure(measure), gatePeersAddress(std::move(gate)),
      receiver(std::move(receiver)) {}

void RemoteDispatch::cancel() {
  receiver = nullptr;
  if (exchange)
    exchange->cancel();
}

void RemoteDispatch::onHead(Exchange::Result result) {
  if (auto *const head = std::get_if<AnswerHead>(&result)) {
    updateLoad(*head);
    onAnswer(std::move(*head));
    return;
  }
  const ExchangeError &error = std::get<ExchangeError>(result);
  if (error.isProvablyUnsent)
    deliver(DispatchRefusal{Refusal::NotConnected});
  else
    deliver(DispatchFailure{false, error.message});
}

void RemoteDispatch::onAnswer(AnswerHead head) {
  const auto reason = findHeader(head.headers, headers::Reason);
  const bool isNotRun = findHeader(head.headers, headers::Outcome) ==
                        std::string(toString(Outcome::NotRun));
  // Every answer of a gate tells its load. What lacks that was rejected by the
  // other node before it came to the gate, for example as its buffers are full.
  if (isNotRun && !findHeader(head.headers, headers::Load)) {
    drain(exchange);
    deliver(DispatchRefusal{Refusal::Full});
    return;
  }
  if (!reason) {
    removeHopByHopHeaders(head.headers);
    deliver(DispatchAnswer{std::move(head), this});
    return;
  }
  drain(exchange);
  if (isNotRun)
    deliver(DispatchRefusal{parseRefusal(*reason)});
  else
    deliver(DispatchFailure{*reason == "target-died", *reason});
}

void RemoteDispatch::updateLoad(const AnswerHead &head) {
  if (const auto time = findHeader(head.headers, headers::Time))
    if (const auto parsed = HybridTime::parse(*time))
      services.observe(*parsed);
  const auto text = findHeader(head.headers, headers::Load);
  const auto report = text ? parseLoad(*text) : std::nullopt;
  if (report)
    measure.loadTable().onReport(gatePeersAddress, *report,
                                 NodeServices::now());
}

void RemoteDispatch::deliver(DispatchResult result) {
  if (const auto action = std::exchange(receiver, nullptr))
    action(std::move(result));
}

namespace {

void drainUntil(const AnswerSourcePtr &source, std::size_t limit,
                const std::shared_ptr<Timer> &timer) {
  source->read([source, limit, timer](const Chunk &chunk) {
    const auto *const bytes = std::get_if<GBytesPtr>(&chunk);
    const std::size_t n = bytes == nullptr ? 0 : g_bytes_get_size(bytes->get());
    if (bytes == nullptr)
      timer->stop();
    else if (n < limit)
      drainUntil(source, limit - n, timer);
    else
      source->cancel();
  });
}

} // namespace

void drain(const AnswerSourcePtr &source, std::size_t limit) {
  const auto timer = std::make_shared<Timer>();
  timer->startOnce(MaxDrainTime, [source] { source->cancel(); });
  drainUntil(source, limit, timer);
}

} // namespace plantainhatch
