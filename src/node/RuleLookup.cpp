#include "node/RuleLookup.h"

#include "process/ProofAge.h"
#include "version/RuleRecord.h"

#include <algorithm>

namespace plantainhatch {

namespace {

template <typename T> std::optional<T> decode(const std::string &record) {
  auto decoded =
      record.empty() ? Checked<RuleRecord>(Findings{}) : decodeRecord(record);
  T *const rule = decoded ? std::get_if<T>(&decoded.value()) : nullptr;
  return rule == nullptr ? std::nullopt : std::optional(std::move(*rule));
}

} // namespace

void RuleLookup::find(const Query &query, std::vector<Address> holders,
                      Done done) {
  holders.resize(std::min(holders.size(), MaxAttempts));
  std::ranges::reverse(holders);
  const bool isTooLong = query.host.size() + query.path.size() > MaxQueryBytes;
  if (holders.empty() || isTooLong || open.size() >= MaxOpen) {
    done(std::nullopt);
    return;
  }
  ask({query,
       std::move(holders),
       {},
       {},
       std::move(done),
       std::make_unique<Timer>()});
}

void RuleLookup::ask(Open lookup) {
  const std::uint64_t nonce = services.random();
  lookup.asked = lookup.holders.back();
  lookup.holders.pop_back();
  lookup.askedAt = NodeServices::now();
  services.metrics.add("rule_queries_total");
  peers.sendWithoutUpdates(lookup.asked,
                           RuleQuery{nonce, lookup.query.leastVersion,
                                     lookup.query.host, lookup.query.path,
                                     lookup.query.keyDigest});
  Timer &timer = *lookup.timer;
  open.emplace(nonce, std::move(lookup));
  timer.startOnce(TimeLimit, [this, nonce] {
    const auto it = open.find(nonce);
    services.metrics.add("rule_queries_unanswered_total");
    if (it->second.holders.empty()) {
      finish(it, std::nullopt);
      return;
    }
    Open next = std::move(it->second);
    open.erase(it);
    // The timer that runs this is kept until it returns.
    const auto expired = std::exchange(next.timer, std::make_unique<Timer>());
    ask(std::move(next));
  });
}

void RuleLookup::onAnswer(const Address &sender, const RuleAnswer &answer) {
  const auto it = open.find(answer.nonce);
  if (it == open.end() || it->second.asked != sender)
    return;
  auto rule = decode<ServiceRule>(answer.record);
  if (!rule || answer.version < it->second.query.leastVersion) {
    finish(it, std::nullopt);
    return;
  }
  std::optional<TimePoint> provedAt;
  if (answer.proofAgeMs != RuleAnswer::NoProof)
    provedAt = proofAge::fromMessage(it->second.askedAt, answer.proofAgeMs);
  finish(it, Result{answer.version, std::move(*rule),
                    decode<TeamRule>(answer.teamRecord), provedAt});
}

void RuleLookup::finish(std::map<std::uint64_t, Open>::iterator it,
                        std::optional<Result> result) {
  const Open ended = std::move(it->second);
  open.erase(it);
  ended.done(std::move(result));
}

} // namespace plantainhatch
