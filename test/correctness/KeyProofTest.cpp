/** \file
 * The bound on the use of keys that were taken away: nodes, a store and their
 * messages in random orders of events on a simulated clock. */
#include "process/FreshnessGuard.h"
#include "process/ProofAge.h"

#include <functional>
#include <map>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds Bound{5'000};
constexpr unsigned Held = 1;
constexpr unsigned TakenAway = 2;

/** A process with its own clock, which stands still while it is suspended. */
struct Process {
  FreshnessGuard guard;
  unsigned version = 0;
  Duration suspended{};
  /** Until then no event reaches it. */
  TimePoint stoppedUntil;
  /** Of messages to a process before its restart. */
  unsigned life = 0;
};

class KeyFleet {
public:
  KeyFleet(std::size_t nodes, unsigned seed) : processes(nodes), random(seed) {}

  /** \return a description of a call that ran against the rule; empty if there
   * was none. */
  std::string run() {
    takenAt = Start + milliseconds(draw(0, 6'000));
    for (now = Start; now < Start + seconds(25) && fault.empty();
         now += milliseconds(draw(1, 20))) {
      deliver();
      act(draw(0, static_cast<int>(processes.size()) - 1));
    }
    return fault;
  }

  std::size_t servedCount() const { return served; }

private:
  static constexpr TimePoint Start = TimePoint(std::chrono::hours(1));

  std::vector<Process> processes;
  std::mt19937 random;
  std::multimap<TimePoint, std::function<void()>> messages;
  TimePoint now;
  TimePoint takenAt;
  std::string fault;
  std::size_t served = 0;

  int draw(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  }
  /** Mostly short, sometimes as long as a cut. */
  milliseconds delay() {
    return milliseconds(draw(0, 9) == 0 ? draw(0, 6'000) : draw(0, 30));
  }
  TimePoint clockOf(const Process &it) const { return now - it.suspended; }
  unsigned newest() const { return now >= takenAt ? TakenAway : Held; }
  static void tick(Process &it, TimePoint clock) {
    it.guard.onTick(clock, it.suspended);
  }

  void send(Process &to, std::function<void()> action) {
    if (draw(0, 9) == 0)
      return;
    post(now + delay(), to, to.life, std::move(action));
  }
  void post(TimePoint at, Process &to, unsigned life,
            std::function<void()> action) {
    messages.emplace(at, [this, &to, life, action = std::move(action)] {
      if (to.life != life)
        return;
      if (now < to.stoppedUntil)
        post(to.stoppedUntil, to, life, action);
      else
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

  void onProof(Process &it, unsigned version, TimePoint provedAt) {
    // The main loop may come to the answer before it looks at the clocks.
    if (draw(0, 1) == 0)
      tick(it, clockOf(it));
    if (version < it.version)
      return;
    it.version = version;
    it.guard.onConfirmed(provedAt, FreshnessGuard::Source::Store);
  }

  void askStore(Process &it) {
    const TimePoint askedAt = clockOf(it);
    const TimePoint readAt = now + delay();
    messages.emplace(readAt, [this, &it, askedAt, life = it.life] {
      if (it.life != life)
        return;
      send(it, [this, &it, askedAt, version = newest()] {
        onProof(it, version, askedAt);
      });
    });
  }

  void askPeer(Process &it, Process &peer) {
    const TimePoint askedAt = clockOf(it);
    send(peer, [this, &it, &peer, askedAt, life = it.life] {
      tick(peer, clockOf(peer));
      const auto confirmedAt = peer.guard.confirmedAt();
      if (!confirmedAt || it.life != life)
        return;
      const std::uint32_t age =
          proofAge::toMessage(*confirmedAt, clockOf(peer));
      send(it, [this, &it, askedAt, age, version = peer.version] {
        onProof(it, version, proofAge::fromMessage(askedAt, age));
      });
    });
  }

  void stop(Process &it, bool isSuspension) {
    const milliseconds time(draw(1, draw(0, 1) == 0 ? 900 : 6'000));
    it.stoppedUntil = now + time;
    if (isSuspension)
      it.suspended += time;
  }

  /** A call that is sent and comes to the node now. */
  void serve(Process &it) {
    const TimePoint clock = clockOf(it);
    tick(it, clock);
    if (!proofAge::isYoungForKeys(it.guard.confirmedAt(), clock, Bound))
      return;
    ++served;
    if (it.version < TakenAway && now > takenAt + Bound)
      fault =
          "a call ran " +
          std::to_string(
              std::chrono::duration_cast<milliseconds>(now - takenAt).count()) +
          " ms after its key was taken away";
  }

  void act(int n) {
    Process &it = processes[static_cast<std::size_t>(n)];
    if (now < it.stoppedUntil)
      return;
    const int what = draw(0, 99);
    if (what < 2)
      stop(it, what == 0);
    else if (what == 2)
      it = Process{{}, 0, it.suspended, now, it.life + 1};
    else if (what < 15)
      askStore(it);
    else if (what < 40)
      askPeer(it, processes[static_cast<std::size_t>(
                      draw(0, static_cast<int>(processes.size()) - 1))]);
    else if (what < 50)
      tick(it, clockOf(it));
    else if (what < 60)
      it.guard.isStale(clockOf(it));
    else
      serve(it);
  }
};

} // namespace

TEST_GROUP(KeyProof){};

// Guards against a proof whose age is understated on its way: in an answer that
// waited, at a node that stood still, by a relay, over a restart.
TEST(KeyProof, KeyThatWasTakenAwayIsNotUsedAfterTheBound) {
  for (const std::size_t nodes : {1, 3, 9}) {
    std::size_t served = 0;
    for (unsigned seed = 1; seed <= 400; ++seed) {
      KeyFleet fleet(nodes, seed);
      const std::string fault = fleet.run();
      CHECK_TEXT(fault.empty(), (std::to_string(nodes) + " nodes, seed " +
                                 std::to_string(seed) + ": " + fault)
                                    .c_str());
      served += fleet.servedCount();
    }
    // The bound would hold as well if nothing were served.
    CHECK(served > 40'000);
  }
}

TEST(KeyProof, AgeIsRoundedUp) {
  const TimePoint now = TimePoint(std::chrono::hours(1));
  const TimePoint provedAt = now - std::chrono::microseconds(1'000'001);
  CHECK_EQUAL(1'001, proofAge::toMessage(provedAt, now));
  CHECK(proofAge::fromMessage(now, 1'001) <= provedAt);
}
