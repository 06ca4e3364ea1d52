/** \file
 * The pattern "return of a fleet": all targets start at once after the loss of
 * all, each bears few calls a second while it is cold, and callers press as
 * before. Plays gates and ingresses without a network. */
#include "process/Gate.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <queue>
#include <random>

using namespace plantainhatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));

/** The load and the limits of one service while it comes back. */
struct ReturnPlan {
  std::size_t targets = 28;
  std::uint16_t slots = 8;
  double callsPerSecond = 870;
  /** Announced by each target. */
  double coldPerSecond = 13;
  double overage = 1.5;
  double slack = 8;
  /** Work of a call at a cold target. */
  milliseconds work{90};
  /** With more calls than this at once, each one that starts takes longer. */
  std::size_t easyCalls = 8;
  double crowdedFactor = 1;
  milliseconds patience{800};
  seconds duration{3};
};

struct ReturnResult {
  unsigned calls = 0;
  unsigned started = 0;
  unsigned finished = 0;
  unsigned mostInASecond = 0;
};

/** Gates of cold targets, and ingresses that know no load yet: each call tries
 * some gates at random, and may wait at the last. */
class ReturningFleet {
public:
  ReturningFleet(const ReturnPlan &plan, const ColdRateLimit &limit)
      : plan(plan), gates(plan.targets), starts(plan.targets) {
    for (std::size_t n = 0; n < gates.size(); ++n) {
      Target target;
      target.service = "s";
      target.address = {"127.0.0.1", static_cast<std::uint16_t>(n + 1)};
      target.slots = target.coldSlots = plan.slots;
      target.bootId = "a";
      gates[n].announce(target);
      gates[n].setColdRateLimit(limit, Start + plan.duration);
    }
  }

  ReturnResult play() {
    double due = 0;
    for (TimePoint now = Start; now < Start + plan.duration;
         now += milliseconds(1)) {
      finishWork(now);
      due += plan.callsPerSecond / 1'000;
      const auto arrivals = static_cast<unsigned>(due);
      due -= arrivals;
      for (unsigned n = 0; n < arrivals; ++n)
        arrive(now);
      if ((now - Start) % PollInterval == Duration())
        for (std::size_t n = 0; n < gates.size(); ++n)
          startAll(n, gates[n].poll(now), now);
    }
    return result;
  }

private:
  static constexpr unsigned Tries = 5;
  static constexpr milliseconds PollInterval{20};

  struct Work {
    TimePoint end;
    std::size_t gate;
    CallId id;
    bool operator>(const Work &other) const { return end > other.end; }
  };

  const ReturnPlan &plan;
  std::vector<Gate> gates;
  std::vector<std::deque<TimePoint>> starts;
  std::priority_queue<Work, std::vector<Work>, std::greater<>> work;
  std::mt19937_64 random{7};
  ReturnResult result;

  void arrive(TimePoint now) {
    const CallId id = ++result.calls;
    std::uniform_int_distribution<std::size_t> pick(0, gates.size() - 1);
    for (unsigned n = 1; n <= Tries; ++n) {
      const std::size_t gate = pick(random);
      const auto admission = gates[gate].admit(
          {id, "s", id, now + plan.patience, n == Tries, 1}, now);
      if (admission.kind == Admission::Kind::Admitted)
        start(gate, id, now);
      if (admission.kind != Admission::Kind::Refused)
        return;
    }
  }

  void start(std::size_t gate, CallId id, TimePoint now) {
    ++result.started;
    const double factor =
        gates[gate].inFlight() > plan.easyCalls ? plan.crowdedFactor : 1;
    work.push({now + std::chrono::duration_cast<Duration>(plan.work * factor),
               gate, id});
    auto &recent = starts[gate];
    recent.push_back(now);
    while (now - recent.front() >= seconds(1))
      recent.pop_front();
    result.mostInASecond =
        std::max(result.mostInASecond, static_cast<unsigned>(recent.size()));
  }

  void startAll(std::size_t gate, const std::vector<QueueResult> &results,
                TimePoint now) {
    for (const QueueResult &it : results)
      if (it.refusal == Refusal::None)
        start(gate, it.id, now);
  }

  void finishWork(TimePoint now) {
    while (!work.empty() && work.top().end <= now) {
      const Work done = work.top();
      work.pop();
      ++result.finished;
      startAll(done.gate,
               gates[done.gate].finish(done.id, GateOutcome::Completed, now),
               now);
    }
  }
};

double shareStarted(const ReturnResult &result) {
  return static_cast<double>(result.started) / result.calls;
}

/** The limit that used half of the overage, and none of the slack. */
ColdRateLimit formerLimit(const ReturnPlan &plan) {
  return {plan.coldPerSecond * (1 + (plan.overage - 1) / 2), 2};
}

ColdRateLimit currentLimit(const ReturnPlan &plan) {
  return ColdRateLimit::forAnnouncedRate(plan.coldPerSecond, plan.overage,
                                         plan.slack);
}

} // namespace

TEST_GROUP(FleetReturn){};

// Guards against callers that are turned away while their targets could bear
// more: nearly all that the allowance bears is used, and never more than it.
TEST(FleetReturn, ColdTargetsGetNearlyAllThatTheyMay) {
  const ReturnPlan plan;
  const double allowedInASecond =
      plan.coldPerSecond * plan.overage + plan.slack;
  const double bound = allowedInASecond * static_cast<double>(plan.targets) /
                       plan.callsPerSecond;
  const auto former = ReturningFleet(plan, formerLimit(plan)).play();
  const auto current = ReturningFleet(plan, currentLimit(plan)).play();
  CHECK(shareStarted(current) >= 0.85 * bound);
  CHECK(shareStarted(current) >= 1.3 * shareStarted(former));
  CHECK(current.mostInASecond <= allowedInASecond);
}

// The allowance of small fleets is above what callers ask for.
TEST(FleetReturn, NobodyIsTurnedAwayWhereTheAllowanceSuffices) {
  ReturnPlan plan;
  plan.callsPerSecond = 0.6 * 28 * (13 * 1.5 + 8);
  const auto current = ReturningFleet(plan, currentLimit(plan)).play();
  CHECK(shareStarted(current) >= 0.98);
}

// Guards against cold targets that are filled to the last slot, where each call
// takes longer, so that fewer end.
TEST(FleetReturn, ColdTargetsThatSlowDownNearlyFullEndMoreCalls) {
  ReturnPlan plan;
  plan.work = milliseconds(300);
  plan.easyCalls = 6;
  plan.crowdedFactor = 1.7;
  const auto result = ReturningFleet(plan, currentLimit(plan)).play();
  const double calls = static_cast<double>(plan.targets * plan.easyCalls) *
                       static_cast<double>(plan.duration / plan.work);
  CHECK(result.finished >= 0.85 * calls);
}
