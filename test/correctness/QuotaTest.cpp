/** \file
 * Quotas over the whole fleet, without a network: nodes, keepers and their
 * messages in random orders of events on a simulated clock. */
#include "base/Settings.h"
#include "connection/MessageCodec.h"
#include "node/QuotaTask.h"
#include "process/QuotaKeeper.h"
#include "process/QuotaPocket.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr std::uint64_t Team = 7;
constexpr milliseconds Window{5'000};
constexpr QuotaSettings Beyond{0.1, 20};
/** From then on a keeper has had the parts for a window. */
const TimePoint Settled = Start + Window + quotaTimes::Promise;
/** Of the seconds of a run, those whose quota must have been used. */
constexpr double LeastSpentSeconds = 2;

Address addressOf(std::size_t n) {
  return {"10.0.0.1", static_cast<std::uint16_t>(n + 1)};
}

/** A process that may keep the quota, and passes calls on. */
struct Process {
  explicit Process(TimePoint now) : pledge(now) {}

  QuotaPledge pledge;
  QuotaKeeper keeper;
  QuotaPocket pocket;
  std::uint64_t sequence = 0;
  /** Answers to earlier questions for pledges are dropped. */
  TimePoint pledgesAskedAfter;
  /** Until then it waits for the answer to its question. */
  TimePoint openUntil;
  std::map<std::size_t, std::uint64_t> lastQuestions;
  Duration suspended{};
  Duration suspendedSeen{};
  TimePoint stoppedUntil;
  unsigned life = 0;
};

/** Nodes that believe what they like about who keeps. */
class QuotaFleet {
public:
  QuotaFleet(std::size_t nodes, QuotaLimit limit, unsigned seed)
      : limit(limit), random(seed), processes(nodes, Process(Start)) {}

  void run() {
    believed.assign(processes.size(), 0);
    for (now = Start; now < Start + seconds(20); now += milliseconds(5)) {
      // Views differ, and come to differ for all at once or for single nodes.
      if (draw(500) == 0)
        std::ranges::fill(believed, draw(Keepers));
      else if (draw(60) == 0)
        believed[draw(believed.size())] = draw(Keepers);
      deliver();
      for (std::size_t n = 0; n < StepsAtOnce; ++n)
        act(draw(processes.size()));
    }
  }

  /** The most calls above the quota in any span of this length. */
  double mostAbove(Duration span) const {
    using Seconds = std::chrono::duration<double>;
    double allowed = limit.callsPerSecond * Seconds(span).count() + limit.burst;
    if (limit.window > milliseconds(0))
      allowed += std::ceil(Seconds(span) / Seconds(limit.window)) *
                 limit.callsPerWindow;
    double most = -allowed;
    for (auto first = spent.begin(); first != spent.end(); ++first) {
      const auto last = std::ranges::lower_bound(spent, *first + span);
      most = std::max(most, static_cast<double>(last - first) - allowed);
    }
    return most;
  }
  std::size_t spentCount() const { return spent.size(); }

private:
  static constexpr std::size_t StepsAtOnce = 12;
  static constexpr std::size_t Keepers = 3;
  static constexpr milliseconds QueryLimit{100};
  /** Steps between two faults of one kind. */
  static constexpr std::size_t Calm = 10'000;

  QuotaLimit limit;
  std::mt19937 random;
  std::vector<Process> processes;
  std::multimap<TimePoint, std::function<void()>> messages;
  std::vector<TimePoint> spent;
  TimePoint now;
  /** Whom each node takes for the keeper. */
  std::vector<std::size_t> believed;

  std::size_t draw(std::size_t end) {
    return std::uniform_int_distribution<std::size_t>(0, end - 1)(random);
  }
  milliseconds delay() {
    return milliseconds(draw(20) == 0 ? draw(4'000) : 1 + draw(20));
  }
  TimePoint clockOf(const Process &it) const { return now - it.suspended; }

  void checkClock(Process &it) {
    if (it.suspended == it.suspendedSeen)
      return;
    it.suspendedSeen = it.suspended;
    it.keeper.clear();
    // What was asked before is no longer waited for.
    ++it.sequence;
    it.pledgesAskedAfter = clockOf(it);
    it.pocket.clear(clockOf(it));
    it.keeper.setLimits({{Team, limit}}, clockOf(it));
  }

  /** Runs \p action at \p to, later, unless that has started anew or the
   * message is lost. */
  void send(std::size_t to, std::function<void()> action) {
    if (draw(25) != 0)
      post(now + delay(), to, processes[to].life, std::move(action));
  }
  void post(TimePoint at, std::size_t to, unsigned life,
            std::function<void()> action) {
    messages.emplace(at, [this, to, life, action = std::move(action)] {
      Process &it = processes[to];
      if (it.life != life)
        return;
      if (now < it.stoppedUntil) {
        post(it.stoppedUntil, to, life, action);
        return;
      }
      checkClock(it);
      action();
    });
  }
  void deliver() {
    while (!messages.empty() && messages.begin()->first <= now) {
      const auto action = std::move(messages.begin()->second);
      messages.erase(messages.begin());
      action();
    }
  }

  void askForPledge(std::size_t keeper, std::size_t node) {
    const TimePoint askedAt = clockOf(processes[keeper]);
    const unsigned life = processes[keeper].life;
    send(node, [this, keeper, node, askedAt, life] {
      Process &it = processes[node];
      if (!it.pledge.give(addressOf(keeper), clockOf(it)) ||
          processes[keeper].life != life)
        return;
      send(keeper, [this, keeper, node, askedAt] {
        Process &asking = processes[keeper];
        if (askedAt < asking.pledgesAskedAfter)
          return;
        asking.keeper.onPledge(addressOf(node), askedAt, processes.size(),
                               clockOf(asking));
      });
    });
  }

  void askForTokens(std::size_t node, std::size_t keeper) {
    Process &it = processes[node];
    const TimePoint askedAt = clockOf(it);
    if (askedAt < it.openUntil)
      return;
    it.openUntil = askedAt + QueryLimit;
    const unsigned wanted = it.pocket.wanted(draw(8), askedAt);
    const QuotaKeeper::Need need{Team, wanted, it.pocket.report(askedAt)};
    const std::uint64_t sequence = ++it.sequence;
    send(keeper, [this, node, keeper, need, askedAt, sequence, life = it.life] {
      Process &kept = processes[keeper];
      std::uint64_t &last = kept.lastQuestions[node];
      if (sequence <= last)
        return;
      last = sequence;
      const QuotaGrant grant =
          kept.keeper.grant(addressOf(node), need, clockOf(kept));
      if (processes[node].life != life)
        return;
      send(node, [this, node, grant, askedAt, sequence] {
        Process &asking = processes[node];
        // An answer to an earlier question is no longer waited for.
        if (asking.sequence != sequence)
          return;
        asking.pocket.add(grant.tokens, askedAt, clockOf(asking));
        asking.openUntil = {};
      });
    });
  }

  void serve(Process &it) {
    it.pocket.onCall(clockOf(it));
    const auto token = it.pocket.take(clockOf(it));
    if (!token)
      return;
    if (draw(4) == 0)
      it.pocket.giveBack(*token, clockOf(it));
    else
      spent.push_back(now);
  }

  void stop(Process &it) {
    const milliseconds time(1 + draw(draw(2) == 0 ? 400 : 5'000));
    it.stoppedUntil = now + time;
    if (draw(2) == 0)
      it.suspended += time;
  }

  void restart(Process &it) {
    const unsigned life = it.life + 1;
    const Duration suspended = it.suspended;
    const std::uint64_t sequence = it.sequence + 1'000'000;
    it = Process(clockOf(it));
    it.life = life;
    it.suspended = it.suspendedSeen = suspended;
    it.sequence = sequence;
  }

  void act(std::size_t n) {
    Process &it = processes[n];
    if (now < it.stoppedUntil)
      return;
    checkClock(it);
    it.keeper.setLimits({{Team, limit}}, clockOf(it));
    it.keeper.setParts(processes.size(), clockOf(it));
    const std::size_t keeper = believed[n];
    const std::size_t what = draw(1'000);
    if (draw(Calm) == 0)
      stop(it);
    else if (draw(Calm) == 0)
      restart(it);
    else if (what < 250)
      askForPledge(draw(3) == 0 ? draw(Keepers) : keeper, n);
    else if (what < 500)
      askForTokens(n, keeper);
    else
      serve(it);
  }
};

/** Nodes of one fleet whose calls take tokens as QuotaTask does, over links
 * that lose nothing, and one keeper that has all parts. */
class QuotaCalls {
public:
  QuotaCalls(std::size_t nodes, QuotaLimit limit, unsigned seed)
      : random(seed), nodes(nodes) {
    keeper.setParts(nodes, Start);
    keeper.setLimits({{Team, limit}}, Start);
  }

  /** Calls that came at \p arrivals, ascending, each at a node drawn evenly.
   * \return whether each was passed on. */
  std::vector<bool> run(const std::vector<TimePoint> &arrivals) {
    std::vector<bool> passed(arrivals.size());
    std::size_t next = 0;
    for (TimePoint now = Start; next < arrivals.size() || isWaiting(); ++tick) {
      now = Start + milliseconds(tick);
      if (tick % 250 == 0)
        for (std::size_t n = 0; n < nodes.size(); ++n)
          keeper.onPledge(addressOf(n), now, nodes.size(), now);
      for (; next < arrivals.size() && arrivals[next] <= now; ++next)
        onCall(next, passed, now);
      for (std::size_t n = 0; n < nodes.size(); ++n)
        step(n, passed, now);
    }
    return passed;
  }

private:
  struct Node {
    QuotaPocket pocket;
    /** Calls that wait, and since when. */
    std::vector<std::pair<std::size_t, TimePoint>> waiting;
    TimePoint overUntil;
    /** When the open question reaches the keeper, and its answer the node. */
    std::optional<std::pair<TimePoint, TimePoint>> question;
    std::optional<QuotaGrant> grant;
    unsigned wanted = 0;
    unsigned held = 0;
    TimePoint askedAt;
  };

  std::mt19937 random;
  std::vector<Node> nodes;
  QuotaKeeper keeper;
  std::int64_t tick = 0;

  bool isWaiting() const {
    return std::ranges::any_of(
        nodes, [](const Node &it) { return !it.waiting.empty(); });
  }
  milliseconds delay() {
    return milliseconds(std::uniform_int_distribution<int>(1, 5)(random));
  }

  void onCall(std::size_t call, std::vector<bool> &passed, TimePoint now) {
    Node &it = nodes[std::uniform_int_distribution<std::size_t>(
        0, nodes.size() - 1)(random)];
    it.pocket.onCall(now);
    if (it.waiting.empty() && it.pocket.take(now))
      passed[call] = true;
    else if (now >= it.overUntil)
      it.waiting.emplace_back(call, now);
  }

  void step(std::size_t n, std::vector<bool> &passed, TimePoint now) {
    Node &it = nodes[n];
    if (!it.question) {
      const unsigned wanted = it.pocket.wanted(it.waiting.size(), now);
      if (it.waiting.empty() &&
          (tick % 25 != 0 || wanted == 0 || wanted < it.pocket.held(now)))
        return;
      const TimePoint reaches = now + delay();
      it.question = {reaches, reaches + delay()};
      it.askedAt = now;
      it.wanted = wanted;
      it.held = it.pocket.report(now);
    }
    if (!it.grant && now >= it.question->first)
      it.grant = keeper.grant(addressOf(n), {Team, it.wanted, it.held}, now);
    if (now < it.question->second)
      return;
    it.pocket.add(it.grant->tokens, it.askedAt, now);
    const milliseconds wait = it.grant->wait;
    const bool isOver =
        wait > milliseconds(0) && it.pocket.held(now) < it.waiting.size();
    if (isOver)
      it.overUntil = now + std::min(wait, milliseconds(25));
    std::erase_if(it.waiting, [&](const auto &call) {
      if (it.pocket.take(now)) {
        passed[call.first] = true;
        return true;
      }
      return isOver && call.second <= it.askedAt;
    });
    it.question.reset();
    it.grant.reset();
  }
};

/** Poisson arrivals, three times as many in the second half of each \p period
 * as in all, of which those are left out that come when less than one call is
 * left of a bucket of \p limit. */
std::vector<TimePoint> arrivalsWithin(QuotaLimit limit, double perSecond,
                                      double period, unsigned seed) {
  constexpr double Span = 20;
  std::mt19937 random(seed);
  std::exponential_distribution<double> gap(perSecond);
  std::uniform_real_distribution<double> part(0, 1);
  std::vector<TimePoint> arrivals;
  double left = 0;
  double at = 0;
  while (true) {
    const double next = at + gap(random);
    if (next >= Span)
      return arrivals;
    left = std::min(limit.burst, left + (next - at) * limit.callsPerSecond);
    at = next;
    const bool isQuiet = period > 0 && std::fmod(next, period) < period / 2;
    if (left < 1 || (isQuiet && part(random) < 0.9))
      continue;
    left -= 1;
    arrivals.push_back(Start + std::chrono::round<Duration>(
                                   std::chrono::duration<double>(next)));
  }
}

/** Poisson arrivals at 0.6 of \p perSecond, and later at 2.5 times of it. */
std::vector<TimePoint> arrivalsOfTeamThatTurnsHot(double perSecond,
                                                  unsigned seed) {
  constexpr double Hot = 2.5;
  constexpr double Quiet = 0.6;
  std::vector<TimePoint> arrivals =
      arrivalsWithin({1e6, 1e6}, perSecond * Hot, 0, seed);
  std::mt19937 random(seed);
  std::bernoulli_distribution isLeftOut(1 - Quiet / Hot);
  std::erase_if(arrivals, [&](TimePoint it) {
    return it < Start + seconds(10) && isLeftOut(random);
  });
  return arrivals;
}

} // namespace

TEST_GROUP(Quota){};

// Guards against calls that are refused below a quota: by tokens that count as
// out though they were used, that end unused, or that are lost as a bucket is
// full.
TEST(Quota, CallsWithinAQuotaAreNotRefused) {
  for (const milliseconds window : {milliseconds(0), Window}) {
    for (const QuotaLimit rule :
         {QuotaLimit{2, 2}, QuotaLimit{14, 14}, QuotaLimit{60, 60},
          QuotaLimit{60, 15}, QuotaLimit{243, 243}, QuotaLimit{243, 60}}) {
      for (const double period : {0.0, 0.2, 2.0, 8.0}) {
        for (unsigned seed = 1; seed <= 2; ++seed) {
          const auto arrivals =
              arrivalsWithin(rule, rule.callsPerSecond * 0.9, period, seed);
          QuotaCalls calls(72,
                           QuotaLimit::within(rule.callsPerSecond, rule.burst,
                                              Beyond, window),
                           seed);
          const std::vector<bool> passed = calls.run(arrivals);
          std::size_t refused = 0;
          for (std::size_t n = 0; n < arrivals.size(); ++n)
            if (arrivals[n] > Settled && !passed[n])
              ++refused;
          CHECK_EQUAL_TEXT(0, refused,
                           (std::to_string(rule.callsPerSecond) +
                            " a second, "
                            "period " +
                            std::to_string(period) + ", seed " +
                            std::to_string(seed))
                               .c_str());
        }
      }
    }
  }
}

// Guards against a team that turns hot and is refused before it has had what
// its quota allows in a window, and against one that gets more.
TEST(Quota, TeamIsRefusedOnlyOnceItHasHadItsQuota) {
  const double span = std::chrono::duration<double>(Window).count();
  for (const QuotaLimit rule : {QuotaLimit{2, 2}, QuotaLimit{14, 14},
                                QuotaLimit{60, 60}, QuotaLimit{243, 243}}) {
    for (unsigned seed = 1; seed <= 3; ++seed) {
      const double allowed = rule.callsPerSecond * span + rule.burst;
      const double most = allowed * (1 + Beyond.overage) + Beyond.slack;
      const std::vector<TimePoint> arrivals =
          arrivalsOfTeamThatTurnsHot(rule.callsPerSecond, seed);
      QuotaCalls calls(
          72,
          QuotaLimit::within(rule.callsPerSecond, rule.burst, Beyond, Window),
          seed);
      const std::vector<bool> passed = calls.run(arrivals);
      std::vector<TimePoint> had;
      const auto hadWithin = [&](TimePoint at, Duration time) {
        return static_cast<double>(had.end() -
                                   std::ranges::upper_bound(had, at - time));
      };
      std::size_t refused = 0;
      for (std::size_t n = 0; n < arrivals.size(); ++n)
        if (passed[n]) {
          had.push_back(arrivals[n]);
          CHECK(hadWithin(arrivals[n], Window) <= most);
        } else if (arrivals[n] > Settled) {
          ++refused;
          CHECK(hadWithin(arrivals[n], Window + quotaTimes::Token) >= allowed);
        }
      CHECK(refused > 0);
    }
  }
}

// Guards against calls beyond a quota while keepers die, are cut off, freeze,
// come back, or are several, and messages are late, lost or out of order.
TEST(Quota, BoundHoldsOverRandomOrdersOfEvents) {
  struct Case {
    std::size_t nodes;
    QuotaLimit limit;
    unsigned seeds;
  };
  for (const Case &it : {Case{9, {50, 20}, 60}, Case{9, {400, 11}, 30},
                         Case{72, {243, 243}, 30}, Case{300, {60, 200}, 10},
                         // Where most may be granted for windows.
                         Case{9, {10, 2, milliseconds(300), 40}, 60},
                         Case{9, {40, 5, milliseconds(1'000), 100}, 60},
                         Case{72, {40, 20, milliseconds(500), 400}, 30},
                         Case{300, {30, 10, milliseconds(1'000), 600}, 10}}) {
    std::size_t spent = 0;
    for (unsigned seed = 1; seed <= it.seeds; ++seed) {
      QuotaFleet fleet(it.nodes, it.limit, seed);
      fleet.run();
      spent += fleet.spentCount();
      for (const milliseconds span :
           {milliseconds(50), milliseconds(300), milliseconds(500),
            milliseconds(1'000), milliseconds(5'000)})
        CHECK_TEXT(fleet.mostAbove(span) <= 1e-6,
                   (std::to_string(it.nodes) + " nodes, seed " +
                    std::to_string(seed) + ", in " +
                    std::to_string(span.count()) + " ms " +
                    std::to_string(fleet.mostAbove(span)) + " above")
                       .c_str());
    }
    // The bound would hold as well if nothing were granted.
    CHECK(static_cast<double>(spent) >
          it.seeds * it.limit.callsPerSecond * LeastSpentSeconds);
  }
}

// Guards against a quota that is counted twice as two nodes take themselves for
// its keeper.
TEST(Quota, PartIsGivenToOneKeeperAtATime) {
  QuotaPledge pledge(Start);
  CHECK_FALSE(pledge.give(addressOf(1), Start + milliseconds(100)));
  const TimePoint later = Start + quotaTimes::Promise;
  const TimePoint justBefore = later + quotaTimes::Promise - milliseconds(1);
  CHECK(pledge.give(addressOf(1), later));
  CHECK_FALSE(pledge.give(addressOf(2), justBefore));
  CHECK(pledge.give(addressOf(1), justBefore));
  CHECK(pledge.give(addressOf(2), justBefore + quotaTimes::Promise));
}

// Guards against tokens that end unused as they were asked for ahead, at many
// nodes that each get a call of a small team now and then.
TEST(Quota, CallsThatAreFarApartTakeOneTokenEach) {
  constexpr std::size_t Nodes = 72;
  std::mt19937 random(41);
  QuotaKeeper keeper;
  keeper.setParts(Nodes, Start);
  // The burst, and half of a slack of 20.
  keeper.setLimits({{Team, {4.8, 5 + 10}}}, Start);
  std::vector<QuotaPocket> pockets(Nodes);
  unsigned refused = 0;
  for (TimePoint now = Start; now < Start + seconds(60);
       now += milliseconds(25)) {
    for (std::size_t n = 0; n < Nodes; ++n)
      keeper.onPledge(addressOf(n), now, Nodes, now);
    const bool isCall = std::uniform_int_distribution<int>(0, 999)(random) < 75;
    const std::size_t caller =
        std::uniform_int_distribution<std::size_t>(0, Nodes - 1)(random);
    if (isCall)
      pockets[caller].onCall(now);
    const unsigned wanted = pockets[caller].wanted(isCall ? 1 : 0, now);
    if (wanted > 0)
      pockets[caller].add(
          keeper
              .grant(addressOf(caller),
                     {Team, wanted, pockets[caller].report(now)}, now)
              .tokens,
          now, now);
    if (isCall && now > Start + seconds(5) && !pockets[caller].take(now))
      ++refused;
  }
  CHECK_EQUAL(0, refused);
}

TEST(Quota, TeamUnderItsQuotaGetsAllThatItAsksFor) {
  QuotaKeeper keeper;
  keeper.setParts(3, Start);
  keeper.setLimits({{Team, {100, 50}}}, Start);
  TimePoint now = Start;
  unsigned given = 0;
  for (int n = 0; n < 100; ++n) {
    now += milliseconds(100);
    for (std::size_t node = 0; node < 3; ++node)
      keeper.onPledge(addressOf(node), now, 3, now);
    given +=
        n < 20 ? 0 : keeper.grant(addressOf(n % 3), {Team, 9, 0}, now).tokens;
  }
  CHECK_EQUAL(80 * 9, given);
}

TEST(Quota, WaitTellsWhenATokenIsThere) {
  QuotaKeeper keeper;
  keeper.setParts(1, Start);
  keeper.setLimits({{Team, {10, 5}}}, Start);
  keeper.onPledge(addressOf(0), Start, 1, Start);
  const TimePoint later = Start + milliseconds(700);
  keeper.onPledge(addressOf(0), later, 1, later);
  const QuotaGrant first = keeper.grant(addressOf(0), {Team, 25, 0}, later);
  CHECK_EQUAL(5, first.tokens);
  CHECK(first.hasPart);
  CHECK_EQUAL(2'000, first.wait.count());
  CHECK_FALSE(QuotaKeeper().grant(addressOf(0), {Team, 1, 0}, later).hasPart);
}

// Guards against a wait that grows with each question of a call that is not
// turned away, as the keeper has too few parts.
TEST(Quota, CallsThatGoOnToAskDoNotLengthenTheWait) {
  QuotaKeeper keeper;
  keeper.setParts(3, Start);
  keeper.setLimits({{Team, {10, 5}}}, Start);
  keeper.onPledge(addressOf(0), Start, 3, Start);
  for (int n = 0; n < 20; ++n)
    CHECK_FALSE(keeper.grant(addressOf(0), {Team, 1, 0}, Start).hasPart);
  keeper.onPledge(addressOf(1), Start, 3, Start);
  keeper.onPledge(addressOf(2), Start, 3, Start);
  const QuotaGrant grant = keeper.grant(addressOf(0), {Team, 1, 0}, Start);
  CHECK_EQUAL(100, grant.wait.count());
}

// Guards against pledges that take more than a node may spend for control.
TEST(Quota, PledgesOfALargeFleetFitEachNode) {
  constexpr std::size_t BytesPerSecond = 19'000;
  const MessageCodec codec("0123456789abcdef");
  MessageHeader header;
  header.cluster = "fleet";
  header.sender = {"10.123.101.211", 18'646};
  const auto sizeOf = [&](const MessageBody &body) {
    return codec.encode(Message{header, body, {}, {}}).size();
  };
  const std::size_t size =
      sizeOf(QuotaPledgeQuery{}) + sizeOf(QuotaPledgeAnswer{});
  CHECK(QuotaTask::Groups * (seconds(1) / QuotaTask::PledgeInterval) * size <
        BytesPerSecond);
}

TEST(Quota, RefusedCallGivesBackItsTokenOnce) {
  QuotaPocket pocket;
  pocket.add(2, Start, Start);
  const auto token = pocket.take(Start + milliseconds(10));
  CHECK(token.has_value());
  pocket.giveBack(*token, Start + milliseconds(20));
  CHECK_EQUAL(2, pocket.held(Start + milliseconds(20)));
  const auto told = pocket.take(Start + milliseconds(30));
  CHECK_EQUAL(1, pocket.report(Start + milliseconds(40)));
  // The keeper counts it as used from here on.
  pocket.giveBack(*told, Start + milliseconds(50));
  CHECK_EQUAL(1, pocket.held(Start + milliseconds(50)));
  CHECK_EQUAL(0, pocket.held(Start + quotaTimes::Token));
}

TEST(Quota, NodeThatIsNotSeenAnyMoreKeepsItsPart) {
  QuotaParts parts;
  parts.onSeen(addressOf(0), Start);
  parts.onSeen(addressOf(1), Start);
  parts.onSeen(addressOf(2), Start);
  parts.onLeft(addressOf(2));
  parts.onKnown(addressOf(3), Start);
  CHECK_EQUAL(3, parts.count(Start));
  const TimePoint later = Start + QuotaParts::MemoryTime + seconds(1);
  parts.onSeen(addressOf(0), later);
  CHECK_EQUAL(1, parts.count(later));
}
