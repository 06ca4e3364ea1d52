#include "node/IngressTask.h"

#include "node/IngressCall.h"
#include "request/collectCandidates.h"
#include "request/narrowToRollout.h"

#include <algorithm>

namespace plantainhatch {

IngressTask::IngressTask(NodeServices &services, PeerTask &peers,
                         ConfigurationTask &configuration, MeasureTask &measure,
                         CrashTask &crashes, GateTask &gate, QuotaTask &quotas,
                         RolloutTask &rollouts, AnyPickPolicy policy)
    : services(services), peers(peers), configuration(configuration),
      measure(measure), crashes(crashes), gate(gate), quotas(quotas),
      rollouts(rollouts), policy(policy) {
  gate.setRepeatCheck([this] { return mayRepeat(); });
}

void IngressTask::serve(const IncomingCallPtr &incoming,
                        std::function<void()> onDone) {
  IngressCall::start(*this, incoming, std::move(onDone));
}

std::string IngressTask::hostOf(const CallRequest &request) {
  const std::string name =
      findHeader(request.headers, "Host").value_or(std::string());
  return name.substr(0, name.find(':'));
}

bool IngressTask::mayRunBeside(const CallRequest &request) const {
  const ConfigurationPtr current = configuration.current();
  const ServiceRule *const rule =
      current->findService(hostOf(request), request.path());
  return rule != nullptr && isIdempotent(request, *rule) &&
         (!rule->needsClaim() || isSafeMethod(request.method));
}

std::optional<PickedTarget> IngressTask::pick(const Configuration &current,
                                              const std::string &service,
                                              const std::set<Address> &tried) {
  const TimePoint now = NodeServices::now();
  const Address &self = services.settings.peers;
  // The local gate is queried directly, so its load is always current.
  if (peers.index().candidatesOf(service).contains(self))
    measure.loadTable().onReport(self, gate.load(), now);
  const FleetView view{peers.membership(), peers.index(), current,
                       measure.loadTable()};
  auto candidates = collectCandidates(view, service, tried, now);
  if (Rollout *const rollout = rollouts.find(service))
    narrowToRollout(candidates, *rollout, !tried.empty(), now);
  if (candidates.empty())
    return std::nullopt;
  const std::size_t index = std::visit(
      [&](auto &it) { return it.pick(candidates, services.random); }, policy);
  probeRandomCandidate(candidates, index);
  return PickedTarget{candidates[index],
                      std::ranges::all_of(candidates, &Candidate::isSaturated)};
}

RetryBudget &IngressTask::budgetOf(const std::string &service) {
  RetryBudget &budget = budgets[service];
  // The node's share depends on the number of nodes. When nodes start together,
  // membership is still growing while calls already arrive.
  budget.setShare(
      services.retryShare(service, peers.membership().presentCount()));
  return budget;
}

void IngressTask::chargeNested(const std::string &rule,
                               const std::string &service) {
  if (!services.settings.site)
    return;
  const double share = nestedCalls.onCall(rule, service, gate.runs());
  if (share <= 0)
    return;
  services.metrics.add("nested_repeats_total");
  budgetOf(service).charge(share, NodeServices::now());
}

bool IngressTask::mayRepeat() {
  const TimePoint now = NodeServices::now();
  bool isOwing = false;
  nestedCalls.forEachService([&](const std::string &service) {
    isOwing = isOwing || budgetOf(service).isOwing(now);
  });
  return !isOwing;
}

std::string IngressTask::chooseService(const ServiceRule &rule) {
  if (rule.trafficSplit.empty())
    return rule.name;
  std::vector<unsigned> weights(rule.trafficSplit.size());
  std::ranges::transform(rule.trafficSplit, weights.begin(),
                         &WeightedService::weight);
  return rule.trafficSplit[stateOf(rule.name).trafficSplit.next(weights)]
      .service;
}

void IngressTask::probeRandomCandidate(const std::vector<Candidate> &candidates,
                                       std::size_t pickedIndex) {
  std::uniform_int_distribution<std::size_t> other(0, candidates.size() - 1);
  const std::size_t index = other(services.random);
  if (index != pickedIndex && !candidates[index].isLocalNode)
    measure.probeIfStale(candidates[index].peersAddress);
}

} // namespace plantainhatch
