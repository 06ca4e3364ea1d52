/** \file
 * The budget of repeats, with calls that repeated runs make. */
#include "process/NestedCalls.h"
#include "request/CallDecision.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using std::chrono::milliseconds;

TEST_GROUP(RepeatBudget) {
  const TimePoint now{std::chrono::hours(1)};
  NestedCalls nested;

  /** A node that knows both rules: the target's own calls came while it ran
   * something, those of callers at any time. */
  void learn() {
    constexpr std::size_t Runs = 10;
    for (unsigned n = 0; n < 100; ++n) {
      nested.onCall("inner", "stock", {Runs, 0});
      nested.onCall("outer", "front", {n % 2 == 0 ? Runs : 0, 0});
    }
  }
};

TEST(RepeatBudget, CallsThatComeToAnIdleTargetAreNotItsOwn) {
  learn();
  CHECK(nested.isNested("inner"));
  CHECK(!nested.isNested("outer"));
  CHECK(!nested.isNested("never-called"));
  std::vector<std::string> services;
  nested.forEachService([&](const std::string &it) { services.push_back(it); });
  CHECK(services == std::vector<std::string>{"stock"});
}

TEST(RepeatBudget, AFewCallsOfRunsFromBeforeAStartDoNotHideTheRest) {
  for (unsigned n = 0; n < 3; ++n)
    nested.onCall("inner", "stock", {0, 0});
  CHECK(!nested.isNested("inner"));
  learn();
  CHECK(nested.isNested("inner"));
}

TEST(RepeatBudget, RepeatsAnswerForTheirShareOfTheTargetsCalls) {
  learn();
  DOUBLES_EQUAL(0.3, nested.onCall("inner", "stock", {10, 3}), 1e-9);
  DOUBLES_EQUAL(0, nested.onCall("outer", "front", {10, 3}), 1e-9);
  DOUBLES_EQUAL(0, nested.onCall("inner", "stock", {10, 0}), 1e-9);
}

TEST(RepeatBudget, MoreRulesThanAreToldApartAreNotCharged) {
  for (std::size_t n = 0; n < NestedCalls::MaxRules; ++n)
    nested.onCall("rule-" + std::to_string(n), "stock", {2, 0});
  DOUBLES_EQUAL(0, nested.onCall("one-more", "stock", {2, 2}), 1e-9);
  DOUBLES_EQUAL(1, nested.onCall("rule-0", "stock", {2, 2}), 1e-9);
}

// Load: every call of a target's callers fails and may be repeated here, and
// each run makes one call. Whatever the share of repeats among the runs, both
// kinds of added calls together stay within the budget.
TEST(RepeatBudget, CallsOfRepeatsAndOwnRepeatsShareOneBudget) {
  constexpr RetryShare Share{0.1, 20};
  constexpr unsigned Calls = 1'000;
  constexpr std::size_t Runs = 10;
  for (std::size_t repeats = 1; repeats <= Runs; ++repeats) {
    NestedCalls calls;
    RetryBudget budget(Share);
    double added = 0;
    for (unsigned n = 0; n < Calls; ++n) {
      budget.onCall();
      const bool mayRepeat = !budget.isOwing(now);
      const double share =
          calls.onCall("inner", "stock", {Runs, mayRepeat ? repeats : 0});
      budget.charge(share, now);
      added += share;
      if (budget.trySpend(now))
        ++added;
    }
    CHECK(added <= Share.capacity + Share.tokensPerCall * Calls + 1);
    CHECK(added >= Share.tokensPerCall * Calls);
  }
}

TEST(RepeatBudget, AttemptThatNoTargetSawDoesNotMakeTheNextOneARepeat) {
  const Address first = Address::parse("10.0.0.1:1").value();
  const Address second = Address::parse("10.0.0.2:1").value();
  RetryBudget budget;
  CallDecision call(true, now + milliseconds(1'000), budget);
  call.start();
  call.onForwarded(first);
  call.onRefused(first, Refusal::RepeatBudget, now);
  CHECK(!call.hasReachedTarget());
  call.onForwarded(second);
  call.onFailed(second, false, now);
  CHECK(call.hasReachedTarget());
}

namespace {

/** A node beside a target that calls another service, seen from the budget of
 * that service. The runs are told by whether they are repeats. */
struct NestingNode {
  NestedCalls nested;
  RetryBudget budget;
  std::vector<bool> runs;

  TargetRuns count() const {
    return {runs.size(),
            static_cast<std::size_t>(std::ranges::count(runs, true))};
  }
};

} // namespace

// Load: a fleet whose targets call another service during some of their runs,
// and whose calls are repeated wherever the budget allows it, while nodes start
// anew. The calls of runs come in any order.
TEST(RepeatBudget, BoundHoldsOverRandomOrdersOfEvents) {
  constexpr double Ratio = 0.2;
  constexpr double Extra = 56;
  constexpr unsigned Events = 20'000;
  constexpr std::size_t MostRuns = 12;
  for (const std::size_t size : {2U, 9U, 40U}) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
      std::mt19937 random(seed);
      const auto below = [&](std::size_t n) { return random() % n; };
      std::vector<NestingNode> nodes(size);
      for (NestingNode &it : nodes)
        it.budget.setShare(RetryShare::forNode(Ratio, Extra, size));
      unsigned requests = 0;
      unsigned repeats = 0;
      for (unsigned n = 0; n < Events; ++n) {
        // Half of the extra attempts is for one start of all nodes.
        if (n == Events / 2) {
          for (NestingNode &it : nodes) {
            it.nested = {};
            it.budget = RetryBudget(RetryShare::forNode(Ratio, Extra, size));
          }
        }
        NestingNode &node = nodes[below(size)];
        if (node.runs.size() < MostRuns && below(2) == 0) {
          const bool isRepeat = below(3) == 0 && !node.budget.isOwing(now);
          node.runs.push_back(isRepeat);
        } else if (!node.runs.empty()) {
          const std::size_t run = below(node.runs.size());
          ++requests;
          repeats += node.runs[run] ? 1 : 0;
          node.budget.onCall();
          node.budget.charge(node.nested.onCall("inner", "stock", node.count()),
                             now);
          if (below(2) == 0 && node.budget.trySpend(now))
            ++repeats;
          if (below(2) == 0)
            node.runs.erase(node.runs.begin() +
                            static_cast<std::ptrdiff_t>(run));
        }
      }
      CHECK(repeats > 0);
      CHECK_TEXT(repeats <= Ratio * requests + Extra,
                 (std::to_string(size) + " nodes, seed " +
                  std::to_string(seed) + ": " + std::to_string(repeats) +
                  " of " + std::to_string(requests))
                     .c_str());
    }
  }
}

// Guards against a debt that stops repeats for good, as the target no longer
// makes the calls that would pay it back. KNOWN-RED.
TEST(RepeatBudget, DebtDoesNotOutlastTheTimeThatTheBudgetIsCountedOver) {
  RetryBudget budget(RetryShare{0.16, 0});
  budget.charge(1, now);
  CHECK(budget.isOwing(now));
  CHECK(!budget.isOwing(now + std::chrono::minutes(1)));
}
