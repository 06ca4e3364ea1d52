#include "node/NodeServices.h"

#include "base/Digest.h"

#include <glog/logging.h>

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <cmath>
#include <ctime>

namespace plantainhatch {

namespace {

constexpr std::chrono::milliseconds DecisionWriteInterval{100};

std::chrono::nanoseconds threadCpuTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

std::string join(const std::vector<std::string> &names) {
  std::string text;
  for (const std::string &name : names)
    text += (text.empty() ? "" : ", ") + name;
  return text.empty() ? "none" : text;
}

} // namespace

NodeServices::NodeServices(NodeSettings nodeSettings,
                           CallProtocol nodeCallProtocol)
    : currentSettings(std::move(nodeSettings)),
      callProtocol(std::move(nodeCallProtocol)), codec(settings.key),
      session(std::make_unique<HttpSession>()), storeClient(settings.platform),
      events(settings.callers.toString()), random(std::random_device()()),
      decisions(settings.forwardAddress().toString()) {
  if (settings.site)
    decisionTimer.startRepeating(DecisionWriteInterval,
                                 [this] { writeDecisions(); });
}

void NodeServices::updateSettings(const NodeSettings &next) {
  const SettingsUpdate update = makeSettingsUpdate(settings, next);
  currentSettings = update.settings;
  storeClient.setUrl(settings.platform);
  const std::string applied = join(update.applied);
  const std::string deferred = join(update.deferred);
  LOG(INFO) << "settings: changed at once: " << applied
            << "; at the next start: " << deferred;
  logDecision(DecisionKind::StateChange, {{"event", "settings-changed"},
                                          {"applied", applied},
                                          {"nextStart", deferred}});
}

NodeServices::~NodeServices() { writeDecisions(); }

void NodeServices::logDecision(DecisionKind kind,
                               const DecisionFields &fields) {
  if (settings.site)
    decisions.add(kind, fields, wallNow(), now());
}

void NodeServices::writeDecisions() {
  // A pipe that polls as writable accepts this many bytes without blocking.
  constexpr std::size_t MaxAtomicWrite = PIPE_BUF;
  while (settings.site) {
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
      return;
    const std::string lines = decisions.take(MaxAtomicWrite, wallNow(), now());
    if (lines.empty())
      return;
    // A closed pipe must not stop the node, so write errors are ignored.
    [[maybe_unused]] const auto n =
        ::write(STDOUT_FILENO, lines.data(), lines.size());
  }
}

WallTime NodeServices::wallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

void NodeServices::record(EventKind kind, std::string subject,
                          std::string detail, std::string cause) {
  if (!settings.site)
    LOG(INFO) << toString(kind) << " " << subject << ": " << detail << " ("
              << cause << ")";
  logDecision(DecisionKind::StateChange, {{"event", toString(kind)},
                                          {"subject", subject},
                                          {"detail", detail},
                                          {"cause", cause}});
  events.record(stamp(), kind, std::move(subject), std::move(detail),
                std::move(cause));
}

RetryShare NodeServices::retryShare(const std::string &service,
                                    std::size_t nodes) const {
  if (!settings.site)
    return {};
  const auto hash = stableHash(settings.peers.toString() + "/" + service);
  // The upper half of the hash has as many bits as the fraction needs.
  constexpr unsigned HalfBits = 32;
  const double position =
      std::ldexp(static_cast<double>(hash >> HalfBits), -int{HalfBits});
  return RetryShare::forNode(settings.site->retryRatio,
                             settings.site->retryExtra, nodes, position);
}

std::string NodeServices::makeId() {
  const std::unique_ptr<gchar, decltype(&g_free)> id(g_uuid_string_random(),
                                                     g_free);
  return id.get();
}

ScopedControlCpuTimer::ScopedControlCpuTimer(Metrics &metrics)
    : metrics(metrics), startedAt(threadCpuTime()) {}

ScopedControlCpuTimer::~ScopedControlCpuTimer() {
  const auto spent = threadCpuTime() - startedAt;
  metrics.add("control_cpu_nanoseconds_total", {},
              static_cast<std::uint64_t>(spent.count()));
}

} // namespace plantainhatch
