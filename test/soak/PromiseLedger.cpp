#include "soak/PromiseLedger.h"

#include <algorithm>
#include <ranges>

namespace plantainhatch::test {

namespace {

constexpr unsigned TooManyRequests = 429;
constexpr unsigned Unavailable = 503;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned Misdirected = 421;

/** Statuses that promise that the call was not run and never will be. */
bool promisesNotRun(unsigned status) {
  return status == TooManyRequests || status == Unavailable ||
         status == RequestTimeout || status == Misdirected;
}

bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

std::string millisecondsBetween(TimePoint from, TimePoint to) {
  return std::to_string(
             std::chrono::floor<std::chrono::milliseconds>(to - from).count()) +
         " ms";
}

} // namespace

void PromiseLedger::sent(const std::string &call, bool isRepeatable,
                         std::size_t machine, TimePoint at) {
  Call &entry = calls[call];
  entry.isRepeatable = isRepeatable;
  entry.machine = machine;
  entry.sentAt = at;
}

void PromiseLedger::ran(const std::string &call, const std::string &target,
                        const std::string &domain, std::size_t machine,
                        TimePoint at) {
  const auto it = calls.find(call);
  if (it == calls.end()) {
    broken.push_back("unasked: " + target + " ran " + call +
                     ", which nobody sent");
    return;
  }
  ++it->second.runs;
  const auto left = leaving.find(target);
  if (left != leaving.end() && at > left->second + bounds.drain)
    broken.push_back("leave: " + target + " got " + call + " " +
                     millisecondsBetween(left->second, at) +
                     " after its leave was acknowledged");
  const auto out = domainsOut.find(domain);
  const bool isLate =
      out != domainsOut.end() && at > out->second + bounds.domainOut;
  if (isLate &&
      isMachineCalm(machine, out->second - bounds.calmWindow, at,
                    Disturbance::Target) &&
      isCalm(storeSpans, out->second - bounds.calmWindow, at, std::nullopt))
    broken.push_back("domain-out: " + target + " in " + domain + " got " +
                     call + " " + millisecondsBetween(out->second, at) +
                     " after the domain was taken out");
  const auto cold = coldUntil.find(target);
  if (cold != coldUntil.end() && at < cold->second)
    coldRuns[target].push_back({it->second.sentAt, at});
}

void PromiseLedger::answered(const std::string &call, unsigned status,
                             const std::string &body, TimePoint at) {
  Call &entry = calls[call];
  entry.hasEnded = true;
  entry.endedAt = at;
  entry.status = status;
  entry.body = body;
}

void PromiseLedger::cut(const std::string &call, TimePoint at) {
  Call &entry = calls[call];
  entry.hasEnded = true;
  entry.wasCut = true;
  entry.endedAt = at;
}

void PromiseLedger::gaveUp(const std::string &call, TimePoint at) {
  Call &entry = calls[call];
  entry.hasEnded = true;
  entry.endedAt = at;
}

void PromiseLedger::disturbed(std::size_t machine, Disturbance kind,
                              TimePoint at, TimePoint until) {
  spans[machine].push_back({at, until, kind});
}

void PromiseLedger::storeDisturbed(TimePoint at, TimePoint until) {
  storeSpans.push_back({at, until, Disturbance::Node});
}

void PromiseLedger::leaveAcknowledged(const std::string &target, TimePoint at) {
  leaving.try_emplace(target, at);
}

void PromiseLedger::becameCold(const std::string &target, TimePoint until) {
  coldUntil[target] = until;
}

void PromiseLedger::domainTakenOut(const std::string &domain, TimePoint at) {
  domainsOut[domain] = at;
}

void PromiseLedger::servedVersion(const std::string &nodeStart,
                                  unsigned version, TimePoint sentAt,
                                  TimePoint at) {
  std::vector<SeenVersion> &seen = versions[nodeStart];
  const auto newer = std::ranges::find_if(seen, [&](const SeenVersion &it) {
    return it.version > version && it.seenAt < sentAt;
  });
  if (newer != seen.end())
    broken.push_back("version: " + nodeStart + " served version " +
                     std::to_string(version) + " after version " +
                     std::to_string(newer->version));
  seen.push_back({version, at});
}

bool PromiseLedger::isCalm(const std::vector<Span> &list, TimePoint from,
                           TimePoint until,
                           std::optional<Disturbance> allowed) {
  return std::ranges::none_of(list, [&](const Span &it) {
    return it.from <= until && it.until >= from && it.kind != allowed;
  });
}

bool PromiseLedger::isMachineCalm(std::size_t machine, TimePoint from,
                                  TimePoint until,
                                  std::optional<Disturbance> allowed) const {
  const auto it = spans.find(machine);
  return it == spans.end() || isCalm(it->second, from, until, allowed);
}

bool PromiseLedger::isFleetCalm(TimePoint from, TimePoint until,
                                std::optional<Disturbance> allowed) const {
  return isCalm(storeSpans, from, until, allowed) &&
         std::ranges::all_of(spans, [&](const auto &it) {
           return isCalm(it.second, from, until, allowed);
         });
}

void PromiseLedger::checkCalls(std::vector<std::string> &found) const {
  for (const auto &[name, call] : calls) {
    if (!call.isRepeatable && call.runs > 1)
      found.push_back("once: " + name + " ran " + std::to_string(call.runs) +
                      " times");
    if (!call.isRepeatable && call.runs > 0 && promisesNotRun(call.status))
      found.push_back("not-run: " + name + " was refused with " +
                      std::to_string(call.status) + " and ran");
    if (isSuccess(call.status) && call.body != "whole " + name)
      found.push_back("whole: " + name + " got '" + call.body + "'");
    if (isSuccess(call.status) && call.runs == 0)
      found.push_back("whole: " + name + " got a success and never ran");
  }
}

void PromiseLedger::checkCuts(std::vector<std::string> &found) const {
  std::vector<std::string> atCalm;
  for (const auto &[name, call] : calls) {
    if (!call.wasCut || call.runs == 0)
      continue;
    const TimePoint from = call.sentAt - bounds.calmWindow;
    if (isMachineCalm(call.machine, from, call.endedAt, std::nullopt))
      atCalm.push_back(name);
    else if (isFleetCalm(from, call.endedAt, Disturbance::Planned))
      found.push_back("planned: " + name +
                      " reached a target and was cut with nothing but planned "
                      "work around it");
  }
  if (atCalm.size() <= bounds.cutCalls)
    return;
  std::ranges::transform(
      atCalm, std::back_inserter(found), [](const std::string &name) {
        return "cut: " + name + " reached a target and was cut at a calm node";
      });
}

void PromiseLedger::checkColdRuns(std::vector<std::string> &found) const {
  for (const auto &[target, runs] : coldRuns) {
    // A call counts in a second in which it was both sent and run.
    const auto countFrom = [&all = runs](const ColdRun &first) {
      return std::ranges::count_if(all, [&](const ColdRun &it) {
        return it.sentAt >= first.sentAt &&
               it.at < first.sentAt + std::chrono::seconds(1);
      });
    };
    const auto limit = static_cast<std::ptrdiff_t>(bounds.coldCallsPerSecond);
    if (std::ranges::any_of(
            runs, [&](const ColdRun &it) { return countFrom(it) > limit; }))
      found.push_back("cold: " + target + " got more than " +
                      std::to_string(limit) + " calls in a second while cold");
  }
}

std::vector<std::string> PromiseLedger::findBroken() const {
  std::vector<std::string> found = broken;
  checkCalls(found);
  checkCuts(found);
  checkColdRuns(found);
  for (const std::string &name : openCalls())
    found.push_back("end: " + name + " was never answered");
  return found;
}

std::size_t PromiseLedger::servedCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(calls | std::views::values, [](const Call &it) {
        return isSuccess(it.status);
      }));
}

std::vector<std::string> PromiseLedger::openCalls() const {
  std::vector<std::string> names;
  for (const auto &[name, call] : calls)
    if (!call.hasEnded)
      names.push_back(name);
  return names;
}

} // namespace plantainhatch::test
