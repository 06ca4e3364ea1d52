/** \file
 * Decisions about roll-outs, without a network. */
#include "process/Rollout.h"
#include "process/RolloutVerdict.h"
#include "request/measureRolloutRoom.h"
#include "request/narrowToRollout.h"

#include <array>
#include <functional>
#include <memory>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace std::chrono_literals;

namespace {

constexpr double ExposureShare = 0.1;
constexpr double ExposureSlack = 50;
constexpr Rollout::Limits Limits{0.04, 2'500ms, 0.06};
const RolloutRule Order{"shop", "v2", 14s, 5};

Candidate candidateOf(std::uint16_t port, const std::string &version) {
  Candidate candidate;
  candidate.peersAddress = {"10.0.0.1", port};
  candidate.softwareVersion = version;
  candidate.load.limit = 10;
  return candidate;
}

std::vector<Candidate> makeFleet(std::uint16_t others, std::uint16_t ordered) {
  std::vector<Candidate> fleet;
  fleet.reserve(std::size_t{others} + ordered);
  for (std::uint16_t n = 0; n < others; ++n)
    fleet.push_back(candidateOf(n, "v1"));
  for (std::uint16_t n = 0; n < ordered; ++n)
    fleet.push_back(candidateOf(others + n, "v2"));
  return fleet;
}

} // namespace

TEST_GROUP(Rollout) {
  TimePoint now{1h};
  Rollout rollout{Order, Limits, 1, now};

  /** Of \p calls first tries, how many went to the ordered version. */
  unsigned countTrials(unsigned calls, const std::vector<Candidate> &fleet) {
    unsigned trials = 0;
    for (unsigned n = 0; n < calls; ++n) {
      auto candidates = fleet;
      narrowToRollout(candidates, rollout, false, now);
      CHECK(!candidates.empty());
      const bool isTrial = candidates.front().isOrdered;
      rollout.onAnswer("rule", isTrial, false);
      trials += isTrial ? 1 : 0;
    }
    return trials;
  }

  std::size_t left(const std::string &version, bool isRepeat = false) {
    auto candidates = makeFleet(3, 2);
    narrowToRollout(candidates, rollout, isRepeat, now);
    return static_cast<std::size_t>(
        std::ranges::count(candidates, version, &Candidate::softwareVersion));
  }
};

// Guards against a version that gets calls before any node has said that its
// roll-out goes on, or after the deciding node has fallen silent.
TEST(Rollout, NothingIsTriedOutWithoutFreshNews) {
  LONGS_EQUAL(0, countTrials(1'000, makeFleet(30, 4)));
  rollout.onNews(RolloutPhase::Running, 0s, now);
  CHECK(countTrials(1'000, makeFleet(30, 4)) > 10);
  now += Limits.lease + 1ms;
  LONGS_EQUAL(0, countTrials(1'000, makeFleet(30, 4)));
}

// Guards against trials by what a node says that may have heard it long ago.
TEST(Rollout, HearsayShowsThePhaseButAllowsNoTrials) {
  CHECK(rollout.onHearsay(RolloutPhase::Running, 0s, now));
  LONGS_EQUAL(0, countTrials(1'000, makeFleet(30, 4)));
  auto candidates = makeFleet(0, 2);
  narrowToRollout(candidates, rollout, false, now);
  LONGS_EQUAL(2, candidates.size());
}

// Guards against a share that grows with the number of nodes, with restarts, or
// with calls that no target has answered.
TEST(Rollout, ExposureStaysInBoundsAtAnySizeOfFleetAndWithRestarts) {
  for (const unsigned nodes : {9U, 58U, 300U}) {
    std::mt19937_64 random(nodes);
    std::vector<std::unique_ptr<Rollout>> all(nodes);
    const auto start = [&](unsigned n) {
      all[n] = std::make_unique<Rollout>(Order, Limits, random(), now);
      all[n]->onNews(RolloutPhase::Running, 0s, now);
    };
    for (unsigned n = 0; n < nodes; ++n)
      start(n);
    constexpr unsigned Calls = 7'000;
    unsigned ordered = 0;
    for (unsigned call = 0; call < Calls; ++call) {
      const auto n = static_cast<unsigned>(random() % nodes);
      if (random() % 100 == 0)
        start(n);
      auto candidates = makeFleet(30, 4);
      narrowToRollout(candidates, *all[n], random() % 5 == 0, now);
      const bool isOrdered = candidates.front().isOrdered;
      ordered += isOrdered ? 1 : 0;
      if (random() % 3 != 0)
        all[n]->onAnswer("rule", isOrdered, false);
    }
    CHECK(ordered < Calls * ExposureShare / 2 + ExposureSlack);
    CHECK(ordered > Calls / 100);
  }
}

TEST(Rollout, TrialsGoToFewWarmTargetsAndNeverToRepeats) {
  rollout.onNews(RolloutPhase::Running, 0s, now);
  auto fleet = makeFleet(60, 50);
  fleet.back().load.isCold = true;
  std::set<Address> tried;
  for (unsigned n = 0; n < 5'000; ++n) {
    auto candidates = fleet;
    narrowToRollout(candidates, rollout, n % 2 == 0, now);
    rollout.onAnswer("rule", false, false);
    for (const Candidate &it : candidates)
      if (it.isOrdered) {
        CHECK(n % 2 == 1);
        CHECK(!it.load.isCold);
        tried.insert(it.peersAddress);
      }
  }
  LONGS_EQUAL(2, tried.size());
}

TEST(Rollout, EndsAreFinalAndStoredCompletionOverridesARollBack) {
  rollout.onNews(RolloutPhase::Running, 0s, now);
  CHECK(left("v1") > 0);
  CHECK(rollout.onNews(RolloutPhase::RolledBack, 0s, now));
  CHECK(!rollout.onNews(RolloutPhase::Moving, 0s, now));
  LONGS_EQUAL(0, left("v2"));
  LONGS_EQUAL(3, left("v1"));
  CHECK(rollout.onNews(RolloutPhase::Completed, 0s, now));
  CHECK(!rollout.onNews(RolloutPhase::RolledBack, 0s, now));
  LONGS_EQUAL(0, left("v1"));
  LONGS_EQUAL(2, left("v2"));
}

TEST(Rollout, MovingPrefersTheOrderedVersionAndKeepsTheOthersForRepeats) {
  rollout.onNews(RolloutPhase::Moving, 0s, now);
  LONGS_EQUAL(0, left("v1"));
  LONGS_EQUAL(3, left("v1", true));
}

// Guards against calls to a version that was rolled back, or whose order was
// replaced before it was decided, until it is ordered again.
TEST(Rollout, VersionsThatWereNotCompletedStayOutUntilOrderedAgain) {
  rollout.onNews(RolloutPhase::RolledBack, 0s, now);
  rollout.order({"shop", "v3", 14s, 9}, now);
  LONGS_EQUAL(0, left("v2"));
  LONGS_EQUAL(3, left("v1"));
  rollout.order({"shop", "v2", 14s, 12}, now);
  rollout.onNews(RolloutPhase::Completed, 0s, now);
  LONGS_EQUAL(2, left("v2"));
}

// Guards against workers that an ordinary release starts after a roll-out, and
// that get no calls, as they are not of the version that was ordered.
TEST(Rollout, VersionsThatAppearAfterCompletionGetCalls) {
  rollout.onNews(RolloutPhase::Running, 0s, now);
  CHECK(left("v1") > 0);
  rollout.onNews(RolloutPhase::Completed, 0s, now);
  auto candidates = makeFleet(1, 1);
  candidates.push_back(candidateOf(9, "v3"));
  narrowToRollout(candidates, rollout, false, now);
  LONGS_EQUAL(2, candidates.size());
  LONGS_EQUAL(
      1, std::ranges::count(candidates, "v3", &Candidate::softwareVersion));
}

// Guards against an outage after a start of all nodes while the store is away,
// where nobody knows that the roll-out was completed.
TEST(Rollout, OnlyVersionServesOnceNobodyHasNews) {
  auto candidates = makeFleet(0, 2);
  narrowToRollout(candidates, rollout, false, now);
  CHECK(candidates.empty());
  now += Rollout::MaxSilence;
  candidates = makeFleet(0, 2);
  narrowToRollout(candidates, rollout, false, now);
  LONGS_EQUAL(2, candidates.size());
}

// Guards against an outage if the service runs with the version of an order
// that this node has not seen completed, or is moved back to that version.
TEST(Rollout, VersionThatTheServiceRunsWithServesWhileTheNextOrderIsUnknown) {
  rollout.order({"shop", "v3", 14s, 9}, now);
  auto candidates = makeFleet(0, 3);
  candidates.push_back(candidateOf(9, "v3"));
  narrowToRollout(candidates, rollout, false, now);
  LONGS_EQUAL(3, candidates.size());
  CHECK(candidates.front().softwareVersion == "v2");

  rollout.onNews(RolloutPhase::Completed, 0s, now);
  rollout.order({"shop", "v4", 14s, 10}, now);
  rollout.onNews(RolloutPhase::RolledBack, 0s, now);
  rollout.order({"shop", "v3", 14s, 11}, now);
  candidates = {candidateOf(9, "v3"), candidateOf(8, "v4")};
  narrowToRollout(candidates, rollout, false, now);
  LONGS_EQUAL(1, candidates.size());
  CHECK(candidates.front().softwareVersion == "v3");
}

// Guards against repeats that find no target since the service has no other
// version, and against repeats at the ordered one since the others were tried.
TEST(Rollout, RepeatsKnowWhetherTheServiceHasOtherVersions) {
  rollout.onNews(RolloutPhase::Running, 0s, now);
  for (const std::uint16_t others : {0, 1}) {
    auto candidates = makeFleet(others, 2);
    narrowToRollout(candidates, rollout, false, now);
    candidates = makeFleet(0, 1);
    narrowToRollout(candidates, rollout, true, now);
    LONGS_EQUAL(others == 0 ? 1 : 0, candidates.size());
  }
}

// Guards against a service whose calls all go to the one target of the ordered
// version, which cannot take them.
TEST(Rollout, FormerTargetsServeWhatDoesNotFitUntilTheyEnd) {
  auto fleet = makeFleet(30, 1);
  for (const RolloutPhase phase :
       {RolloutPhase::Moving, RolloutPhase::Completed}) {
    rollout.onNews(phase, 0s, now);
    for (const double calls : {9.0, 10.0}) {
      fleet.back().load.inFlight = calls;
      auto candidates = fleet;
      narrowToRollout(candidates, rollout, false, now);
      LONGS_EQUAL(calls < 10 ? 1 : 31, candidates.size());
    }
  }
}

// Guards against an order that is completed although the ordered version has
// too few targets: the platform then ends all others.
TEST(Rollout, RoomIsThatOfOrderedTargetsForAllCalls) {
  std::vector<Member> records;
  LoadTable loads;
  for (std::uint16_t n = 1; n <= 34; ++n) {
    Member member;
    member.peersAddress = {"10.0.0.1", n};
    member.target.service = Order.service;
    member.target.softwareVersion = n <= 30 ? "v1" : "v2";
    member.target.slots = 20;
    member.target.coldSlots = 5;
    member.target.state = n <= 31 ? TargetState::Warm : TargetState::Cold;
    records.push_back(member);
    // Not all are heard of.
    if (n <= 10)
      loads.onReport(member.peersAddress, {0, 1, 20}, now);
  }
  Member self;
  self.peersAddress = {"10.0.0.2", 1};
  const auto measure = [&](std::ptrdiff_t last) {
    Membership membership(self, 1);
    membership.merge({records.begin(), records.begin() + last}, false, now);
    return measureRolloutRoom(Order, membership, loads, now);
  };
  CHECK(!measure(30).isEnough());
  LONGS_EQUAL(20, measure(31).slots);
  DOUBLES_EQUAL(30, measure(31).calls, 0.1);
  CHECK(!measure(31).isEnough());
  LONGS_EQUAL(30, measure(33).slots);
  CHECK(measure(33).isEnough());
  loads.onReport(records[30].peersAddress, {0, 8, 20}, now);
  CHECK(!measure(33).isEnough());
}

// Guards against short orders whose move takes more of their time than a bad
// version may get of the calls.
TEST(Rollout, TrialsAndMoveTogetherStayInTheShareAtAnyDuration) {
  for (const auto duration : {2s, 3s, 5s, 8s, 9s, 14s, 60s, 600s}) {
    rollout = Rollout({"shop", "v2", duration, 5}, Limits, 1, now);
    const auto [move, write] = rollout.times();
    const std::chrono::duration<double> moved = duration - move;
    const double share = moved / duration;
    CHECK(share + Limits.trialShare * (1 - share) <= ExposureShare);
    CHECK(move < write);
    CHECK(write <= duration - Rollout::MinWriteMargin);
  }
}

// Guards against a version that fails under load, and shows it only once all
// calls have moved to fewer targets than before.
TEST(Rollout, TrialTargetsGetAboutAsManyCallsAsAfterTheMove) {
  rollout.onNews(RolloutPhase::Running, 0s, now);
  const std::pair<std::uint16_t, std::uint16_t> fleets[] = {
      {5, 5}, {50, 25}, {50, 26}, {50, 50}, {60, 8}, {63, 63}, {120, 60}};
  for (const auto &[others, ordered] : fleets) {
    const auto fleet = makeFleet(others, ordered);
    std::size_t tried = 0;
    while (tried == 0) {
      rollout.onAnswer("rule", false, false);
      auto candidates = fleet;
      narrowToRollout(candidates, rollout, false, now);
      tried = candidates.front().isOrdered ? candidates.size() : 0;
    }
    const double each = Limits.trialShare / static_cast<double>(tried);
    CHECK(each * std::max<int>(ordered, others / 2) <= 1.5);
    CHECK(tried == 1 || each * ordered >= 0.75);
  }
}

// Guards against a cold target that counts as good since it was given up.
TEST(Rollout, CancelledAttemptsCountOnlyAgainstAVersion) {
  using enum AttemptEnd;
  for (const bool isCold : {false, true}) {
    CHECK(judgeAttempt(Failed, false, isCold) == true);
    CHECK(judgeAttempt(Answered, false, isCold) == false);
    CHECK(judgeAttempt(Answered, true, isCold) == !isCold);
    CHECK(!judgeAttempt(Cancelled, false, isCold));
  }
  CHECK(judgeAttempt(Cancelled, true, false) == true);
  CHECK(!judgeAttempt(Cancelled, true, true));
}

// Guards against an outage of a service that is moved to the version that it
// runs with.
TEST(Rollout, OnlyVersionServesWhileRunningWithoutTrialsOrLease) {
  rollout.onNews(RolloutPhase::Running, 0s, now);
  now += Limits.lease + 1ms;
  auto candidates = makeFleet(0, 2);
  narrowToRollout(candidates, rollout, false, now);
  LONGS_EQUAL(2, candidates.size());
}

// Guards against an outage if the order for the only version is replaced before
// it is decided, and against the same leniency after a roll-back.
TEST(Rollout, UndecidedVersionServesIfItIsAlone) {
  const auto countLeft = [&](std::uint16_t others) {
    auto candidates = makeFleet(others, 2);
    narrowToRollout(candidates, rollout, false, now);
    return std::ranges::count(candidates, "v2", &Candidate::softwareVersion);
  };
  rollout.onNews(RolloutPhase::Running, 0s, now);
  rollout.order({"shop", "v3", 14s, 9}, now);
  rollout.onNews(RolloutPhase::Running, 0s, now);
  LONGS_EQUAL(0, countLeft(1));
  LONGS_EQUAL(2, countLeft(0));
  rollout.order({"shop", "v2", 14s, 10}, now);
  rollout.onNews(RolloutPhase::RolledBack, 0s, now);
  rollout.order({"shop", "v3", 14s, 11}, now);
  rollout.onNews(RolloutPhase::Running, 0s, now);
  LONGS_EQUAL(0, countLeft(0));
}

// Guards against a service whose only version gets no calls since it is ordered
// once more.
TEST(Rollout, CompletedVersionThatIsOrderedAgainStaysCompleted) {
  rollout.onNews(RolloutPhase::Running, 0s, now);
  CHECK(left("v1") > 0);
  rollout.onNews(RolloutPhase::Completed, 0s, now);
  rollout.order({"shop", "v2", 14s, 9}, now);
  CHECK(rollout.phase() == RolloutPhase::Completed);
  LONGS_EQUAL(9, rollout.rule().order);
  LONGS_EQUAL(0, left("v1"));
  LONGS_EQUAL(2, left("v2"));
}

// Guards against calls to a version that nobody judges any more.
TEST(Rollout, NothingMovesWithoutFreshNews) {
  rollout.onNews(RolloutPhase::Moving, 0s, now);
  now += Limits.lease + 1ms;
  LONGS_EQUAL(0, left("v2"));
  LONGS_EQUAL(3, left("v1"));
  auto candidates = makeFleet(0, 2);
  narrowToRollout(candidates, rollout, false, now);
  LONGS_EQUAL(2, candidates.size());
}

// Guards against an ordinary release of a former version that gets no calls.
TEST(Rollout, FormerVersionsMayReturnAfterTheirTime) {
  rollout.onNews(RolloutPhase::Running, 0s, now);
  CHECK(left("v1") > 0);
  rollout.onNews(RolloutPhase::Completed, 0s, now);
  now += Rollout::FormerTime - 1ms;
  rollout.onNews(RolloutPhase::Completed, 0s, now);
  LONGS_EQUAL(0, left("v1"));
  now += 1ms;
  LONGS_EQUAL(3, left("v1"));
  LONGS_EQUAL(2, left("v2"));
}

// Guards against a restarted node that asks late how far the roll-out is, and
// against nodes that ask without end while nobody knows.
TEST(Rollout, QuestionsComeAtOnceAndThenLessOften) {
  const auto countQuestions = [&](std::chrono::milliseconds time) {
    unsigned questions = 0;
    for (const TimePoint end = now + time; now < end; now += 10ms)
      questions += rollout.takeQuestion(now) ? 1 : 0;
    return questions;
  };
  CHECK(rollout.takeQuestion(now));
  LONGS_EQUAL(3, countQuestions(500ms));
  CHECK(countQuestions(10s) < 6);
  rollout.order({"shop", "v3", 14s, 9}, now);
  CHECK(rollout.takeQuestion(now));
  rollout.onNews(RolloutPhase::Running, 0s, now);
  LONGS_EQUAL(0, countQuestions(10s));
}

TEST_GROUP(RolloutVerdict) {
  static constexpr unsigned Nodes = 20;
  static constexpr unsigned Ticks = 28;

  /** Share of bad answers of a rule in a tick, of one version. */
  using Badness = std::function<double(const std::string &, unsigned)>;

  std::mt19937_64 random{7};
  RolloutVerdict verdict;
  std::vector<std::string> rules{"a", "b", "c"};
  unsigned callsPerTick = 261;

  /** Plays a roll-out of 14 s whose reports may be late or lost, and whose
   * nodes start anew. \return bad answers until the verdict; nothing if there
   * was none. */
  std::optional<unsigned> play(const Badness &ordered, const Badness &others) {
    std::vector<Rollout> nodes;
    std::vector<std::uint64_t> generations(Nodes, 1);
    const auto makeNode = [&] {
      Rollout rollout(Order, Limits, random(), TimePoint{});
      rollout.onNews(RolloutPhase::Running, 0s, TimePoint{});
      return rollout;
    };
    std::generate_n(std::back_inserter(nodes), Nodes, makeNode);
    unsigned bad = 0;
    for (unsigned tick = 0; tick < Ticks; ++tick) {
      for (unsigned call = 0; call < callsPerTick; ++call) {
        Rollout &node = nodes[random() % Nodes];
        const std::string rule = rules[random() % rules.size()];
        const bool isOrdered = node.takeTrial(TimePoint{});
        const bool isBad = std::bernoulli_distribution(
            (isOrdered ? ordered : others)(rule, tick))(random);
        node.onAnswer(rule, isOrdered, isBad);
        bad += isOrdered && isBad ? 1 : 0;
      }
      const unsigned restarted = random() % Nodes;
      if (random() % 10 == 0) {
        nodes[restarted] = makeNode();
        ++generations[restarted];
      }
      for (std::uint16_t n = 0; n < Nodes; ++n) {
        const auto counts = nodes[n].takeCounts();
        if (random() % 4 != 0)
          verdict.add({"10.0.0.1", n}, generations[n], counts);
      }
      verdict.judge();
      if (verdict.fault())
        return bad;
    }
    return std::nullopt;
  }

  static Badness constant(double share) {
    return [share](const std::string &, unsigned) { return share; };
  }
};

TEST(RolloutVerdict, GoodVersionPassesAlsoWhileTheServiceHasTrouble) {
  for (unsigned n = 0; n < 50; ++n) {
    verdict = {};
    CHECK(!play(constant(0.01), constant(0.01)));
    verdict = {};
    const Badness trouble = [](const std::string &rule, unsigned tick) {
      return rule == "b" && tick > 10 && tick < 20 ? 0.4 : 0.02;
    };
    CHECK(!play(trouble, trouble));
  }
}

// Guards against a bad version that is found too late: the time for the
// roll-back begins with its 50th bad answer.
TEST(RolloutVerdict, BadVersionIsFoundBeforeItsFiftiethBadAnswer) {
  const Badness kinds[] = {
      constant(0.3),
      [](const std::string &, unsigned tick) { return tick > 18 ? 0.5 : 0.0; },
      [](const std::string &rule, unsigned) {
        return rule == "c" ? 0.5 : 0.0;
      }};
  for (const Badness &kind : kinds)
    for (unsigned n = 0; n < 50; ++n) {
      verdict = {};
      const auto bad = play(kind, constant(0.02));
      CHECK(bad.has_value());
      CHECK(*bad < 50);
    }
}

// Guards against a verdict that compares the answers of unlike routes, as nodes
// tell only some of many at a time.
TEST(RolloutVerdict, ManyRoutesAreJudgedEachByItself) {
  rules.clear();
  for (unsigned n = 0; n < 30; ++n)
    rules.push_back("route-" + std::to_string(n));
  callsPerTick = 1'500;
  const Badness unlike = [](const std::string &rule, unsigned) {
    return rule.back() == '7' ? 0.5 : 0.0;
  };
  const Badness worse = [&](const std::string &rule, unsigned tick) {
    return rule == rules[4] ? 0.7 : unlike(rule, tick);
  };
  for (unsigned n = 0; n < 50; ++n) {
    verdict = {};
    CHECK(!play(unlike, unlike));
    verdict = {};
    const auto bad = play(worse, unlike);
    CHECK(bad.has_value());
    CHECK(verdict.fault()->rule == rules[4]);
  }
}

TEST(RolloutVerdict, SumsThatComeTwiceOrLateCountOnce) {
  const RolloutCount first{"a", true, 10, 3};
  const RolloutCount second{"a", true, 12, 4};
  verdict.add({"10.0.0.1", 1}, 1, {second});
  verdict.add({"10.0.0.1", 1}, 1, {first});
  verdict.add({"10.0.0.1", 1}, 1, {second});
  verdict.judge();
  LONGS_EQUAL(12, verdict.orderedAnswers());
  CHECK(!verdict.fault());
  verdict.add({"10.0.0.1", 1}, 2, {first});
  verdict.judge();
  LONGS_EQUAL(22, verdict.orderedAnswers());
}
