/** \file
 * Which target is picked in which situation. */
#include "request/PickPolicy.h"
#include "process/LoadTable.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using std::chrono::milliseconds;

namespace {

Candidate makeChoice(std::uint16_t port, double inFlight, milliseconds latency,
                     bool isLocalDomain = false) {
  Candidate choice;
  choice.peersAddress = {"127.0.0.1", port};
  choice.isLocalDomain = isLocalDomain;
  choice.load = {inFlight, 12, latency, milliseconds(1), 0};
  return choice;
}

std::map<std::size_t, unsigned> pickMany(const std::vector<Candidate> &choices,
                                         unsigned count) {
  HotColdPolicy policy;
  std::mt19937_64 random(5);
  std::map<std::size_t, unsigned> picks;
  for (unsigned n = 0; n < count; ++n)
    ++picks[policy.pick(choices, random)];
  return picks;
}

} // namespace

TEST_GROUP(PickPolicy){};

TEST(PickPolicy, StragglerIsAvoidedWhileOthersHaveRoom) {
  const auto picks = pickMany({makeChoice(1, 1, milliseconds(50)),
                               makeChoice(2, 5, milliseconds(5)),
                               makeChoice(3, 6, milliseconds(5))},
                              200);
  CHECK_FALSE(picks.contains(0));
}

TEST(PickPolicy, OwnFailureDomainGoesFirstWhileItHasRoom) {
  const auto picks = pickMany({makeChoice(1, 3, milliseconds(5)),
                               makeChoice(2, 4, milliseconds(5), true)},
                              200);
  CHECK_EQUAL(200, picks.at(1));
}

TEST(PickPolicy, AnotherDomainIsUsedWhenTheOwnHasToWait) {
  const auto picks = pickMany({makeChoice(1, 3, milliseconds(5)),
                               makeChoice(2, 14, milliseconds(5), true)},
                              200);
  CHECK_EQUAL(200, picks.at(0));
}

TEST(PickPolicy, FullTargetThatIsFastGoesBeforeAnIdleOneThatIsSlow) {
  const auto picks = pickMany({makeChoice(1, 0, milliseconds(400)),
                               makeChoice(2, 13, milliseconds(40))},
                              200);
  CHECK(picks.at(1) >= 190);
}

TEST(PickPolicy, NoiseInLatenciesDoesNotOutweighCallsInFlight) {
  const auto picks = pickMany({makeChoice(1, 8, milliseconds(30)),
                               makeChoice(2, 5, milliseconds(45)),
                               makeChoice(3, 7, milliseconds(40))},
                              200);
  CHECK_EQUAL(200, picks.at(1));
}

TEST(PickPolicy, OldNewsOfSaturationIsNotTrusted) {
  auto choice = makeChoice(1, 24, milliseconds(4));
  CHECK(choice.isSaturated());
  choice.load.age = Candidate::MaxSaturationAge;
  CHECK_FALSE(choice.isSaturated());
}

TEST(PickPolicy, ShortestWaitIsPickedWhenAllAreFull) {
  const auto picks = pickMany({makeChoice(1, 20, milliseconds(10)),
                               makeChoice(2, 13, milliseconds(10)),
                               makeChoice(3, 18, milliseconds(10))},
                              200);
  CHECK_EQUAL(200, picks.at(1));
}

TEST(PickPolicy, FailingTargetGetsATrickleOnly) {
  auto failing = makeChoice(1, 0, milliseconds(1), true);
  failing.load.failures = 3;
  const auto picks = pickMany({failing, makeChoice(2, 5, milliseconds(5)),
                               makeChoice(3, 5, milliseconds(5))},
                              6400);
  CHECK(picks.at(0) > 20);
  CHECK(picks.at(0) < 300);
}

TEST(PickPolicy, WhereMostFailNoneIsLeftOut) {
  std::vector<Candidate> choices;
  for (std::uint16_t n = 0; n < 4; ++n) {
    choices.push_back(makeChoice(n, 2, milliseconds(5)));
    choices.back().load.failures = n < 3 ? 5 : 0;
  }
  choices[0].load.inFlight = 0;
  CHECK_EQUAL(200, pickMany(choices, 200).at(0));
}

TEST(PickPolicy, TargetNotHeardLatelyIsTriedAgain) {
  auto silent = makeChoice(1, 0, milliseconds(500));
  silent.load.age = LoadTable::MaxReportAge + milliseconds(1);
  const auto picks = pickMany({silent, makeChoice(2, 5, milliseconds(5))}, 100);
  CHECK(picks.contains(0));
}

TEST(PickPolicy, TargetNotHeardLatelyIsTriedWithOneCallOnly) {
  auto silent = makeChoice(1, 1, milliseconds(500));
  silent.load.age = LoadTable::MaxReportAge + milliseconds(1);
  const auto picks = pickMany({silent, makeChoice(2, 4, milliseconds(5)),
                               makeChoice(3, 4, milliseconds(5))},
                              100);
  CHECK_FALSE(picks.contains(0));
}

TEST(PickPolicy, LoadTableCountsOwnCallsBetweenReports) {
  LoadTable loads;
  const Address target{"127.0.0.1", 1};
  const TimePoint now = TimePoint(std::chrono::hours(1));
  loads.onReport(target, {1, 4, 12, 3000}, now);
  loads.onSent(target, now);
  loads.onSent(target, now);
  CHECK_EQUAL(6, loads.estimate(target, 12, now).inFlight);
  loads.onEnded(target, false, now);
  CHECK_EQUAL(5, loads.estimate(target, 12, now).inFlight);
  const auto later = now + LoadTable::MaxReportAge + milliseconds(1);
  CHECK_EQUAL(1, loads.estimate(target, 12, later).inFlight);
}
