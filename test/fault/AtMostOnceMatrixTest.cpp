/** \file
 * Every fault at every step of a call that runs at most once, alone and two at
 * a time, with its caller sending again each time. */
#include "operator/MainLoop.h"
#include "request/HeaderNames.h"
#include "support/FaultFixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <span>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/** Who fails. */
enum class Party { Ingress, Gate, TargetProcess, PlatformStore, CallerItself };

/** How. */
enum class Failure { Kill, Freeze, Cut, Down, Slow, Late, LoseAnswers };

struct Fault {
  Party party;
  Failure failure;
  const char *name;
};

constexpr Fault Faults[] = {
    {Party::Ingress, Failure::Kill, "ingress killed"},
    {Party::Ingress, Failure::Freeze, "ingress frozen"},
    {Party::Gate, Failure::Kill, "gates killed"},
    {Party::Gate, Failure::Freeze, "gates frozen"},
    {Party::TargetProcess, Failure::Kill, "targets killed"},
    {Party::TargetProcess, Failure::Freeze, "targets frozen"},
    {Party::PlatformStore, Failure::Down, "platform down"},
    {Party::PlatformStore, Failure::Freeze, "platform frozen"},
    {Party::PlatformStore, Failure::Slow, "platform answers late"},
    {Party::PlatformStore, Failure::Late, "platform writes late"},
    {Party::PlatformStore, Failure::LoseAnswers, "platform loses answers"},
    {Party::CallerItself, Failure::Cut, "caller gone"}};

/** When: the call is held there until the fault has come. */
enum class Step {
  BeforeClaim,
  AfterClaim,
  BeforeHandOver,
  DuringRun,
  AnswerOnItsWay,
  BeforeOutcome
};

const char *toString(Step step) {
  switch (step) {
  case Step::BeforeClaim:
    return "before the claim";
  case Step::AfterClaim:
    return "after the claim";
  case Step::BeforeHandOver:
    return "before the hand-over";
  case Step::DuringRun:
    return "during the run";
  case Step::AnswerOnItsWay:
    return "while the answer is on its way";
  case Step::BeforeOutcome:
    return "before the outcome is stored";
  }
  return "";
}

constexpr milliseconds HoldTime{400};
/** Longer than a node waits for the platform. */
constexpr milliseconds FaultDelay{1'800};
constexpr double HeldRunMs = 800;
constexpr milliseconds BeforeOutcomeRun{150};
/** Longer than the deadline of the rule. */
constexpr milliseconds Patience{2'600};
constexpr std::size_t Targets = 2;

/** One time that a caller has sent a key. */
struct Sending {
  std::string row;
  std::string key;
  std::string requestId;
  HttpAnswer answer;
};

/** Sends keys, brings about faults at a step, mends them, and sends each key
 * again through other nodes until an answer settles it. */
class Matrix {
public:
  explicit Matrix(Step step) : fleet(makePlan(2, 1)), step(step) {}

  /** \pre Called once. */
  void runAlone() {
    CHECK(fleet.start());
    for (const Fault &fault : Faults)
      run({&fault, 1});
    verifyAll();
  }

  /** Two faults at once, each pair of different parties \p distance apart in
   * the table. \pre Called once. */
  void runInPairs(std::size_t distance) {
    CHECK(fleet.start());
    for (std::size_t n = 0; n < std::size(Faults); ++n) {
      const Fault pair[] = {Faults[n],
                            Faults[(n + distance) % std::size(Faults)]};
      if (pair[0].party != pair[1].party)
        run(pair);
    }
    verifyAll();
  }

private:
  Fleet fleet;
  const Step step;
  unsigned nextKey = 0;
  std::vector<Sending> sendings;
  /** Keys that were answered, and not told to be unknown for good. */
  std::vector<std::string> answeredKeys;
  double attemptsBefore = 0;
  bool isOutcomeHeld = false;

  void run(std::span<const Fault> faults) {
    const std::string key = "key-" + std::to_string(++nextKey);
    const std::string row = describe(faults);
    const std::size_t ingress = fleet.vmOf("status");
    const std::uint64_t arrivals = claimArrivals();
    hold();
    Sending sending{row, key, key + "-first", {}};
    std::optional<HttpAnswer> first;
    const auto caller = fleet.http.sendAsync(
        fleet.vms[ingress]->callers, "POST", "/release/1", headersOf(sending),
        "pallet", Patience,
        [&](HttpAnswer answer) { first = std::move(answer); });
    CHECK_TEXT(Fleet::waitUntil([&] { return isAtStep(arrivals); }),
               row.c_str());
    for (const Fault &fault : faults)
      apply(fault, caller.get());
    if (step == Step::BeforeHandOver && !has(faults, Party::Gate))
      signalAll(Party::Gate, SIGCONT);
    Fleet::waitUntil([&] { return first.has_value(); });
    CHECK_TEXT(first.has_value(), row.c_str());
    sending.answer = *first;
    sendings.push_back(sending);
    mend(faults, row);
    resend(row, key);
  }

  std::string describe(std::span<const Fault> faults) const {
    std::string text;
    for (const Fault &fault : faults)
      text += std::string(fault.name) + ", ";
    return text + toString(step);
  }

  static bool has(std::span<const Fault> faults, Party party) {
    return std::ranges::find(faults, party, &Fault::party) != faults.end();
  }

  static HeaderList headersOf(const Sending &sending) {
    return {{"Idempotency-Key", sending.key},
            {headers::RequestId, sending.requestId}};
  }

  /** Claims that have arrived at the platform. */
  std::uint64_t claimArrivals() {
    const auto answer = fleet.http.get(fleet.platform, "/standin/stats");
    return json::parse(answer.body)
        .at("arrivals")
        .value("test-claims", std::uint64_t{0});
  }

  void setTargets(const json &order) {
    for (std::size_t n = 0; n < Targets; ++n)
      fleet.setTarget(fleet.vmOf("release", n), order);
  }

  std::uint64_t sumOfTargets(const char *name) {
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < Targets; ++n) {
      const json stats = fleet.targetStats(fleet.vmOf("release", n));
      if (!stats.is_null())
        sum += stats.at(name).get<std::uint64_t>();
    }
    return sum;
  }

  void hold() {
    switch (step) {
    case Step::BeforeClaim:
      fleet.setPlatform({{"mode", "late"}, {"delayMs", HoldTime.count()}});
      break;
    case Step::AfterClaim:
      fleet.setPlatform({{"mode", "slow"}, {"delayMs", HoldTime.count()}});
      break;
    case Step::BeforeHandOver:
      signalAll(Party::Gate, SIGSTOP);
      break;
    case Step::DuringRun:
      setTargets({{"serviceMs", HeldRunMs}});
      break;
    case Step::AnswerOnItsWay:
      setTargets({{"bodyMs", HeldRunMs}});
      break;
    case Step::BeforeOutcome:
      setTargets({{"serviceMs", BeforeOutcomeRun.count()}});
      break;
    }
  }

  bool isAtStep(std::uint64_t arrivalsBefore) {
    switch (step) {
    case Step::BeforeClaim:
    case Step::AfterClaim:
      return claimArrivals() > arrivalsBefore;
    case Step::BeforeHandOver:
      return fleet.metric(fleet.vmOf("status"), "attempts_total") >
             attemptsBefore;
    case Step::DuringRun:
      return sumOfTargets("running") > 0;
    case Step::AnswerOnItsWay:
      return sumOfTargets("answering") > 0;
    case Step::BeforeOutcome:
      break;
    }
    if (!isOutcomeHeld && sumOfTargets("running") > 0) {
      fleet.setPlatform({{"mode", "late"}, {"delayMs", HoldTime.count()}});
      isOutcomeHeld = true;
    }
    return claimArrivals() > arrivalsBefore + 1;
  }

  std::vector<ChildProcess *> processes(Party party) {
    std::vector<ChildProcess *> found;
    if (party == Party::Ingress)
      found.push_back(fleet.vms[fleet.vmOf("status")]->node.get());
    if (party == Party::PlatformStore)
      found.push_back(fleet.platformProcess.get());
    for (std::size_t n = 0; n < Targets; ++n) {
      Vm &vm = *fleet.vms[fleet.vmOf("release", n)];
      if (party == Party::Gate)
        found.push_back(vm.node.get());
      if (party == Party::TargetProcess)
        found.push_back(vm.targetProcess.get());
    }
    return found;
  }

  void signalAll(Party party, int number) {
    if (party == Party::Gate && number == SIGSTOP)
      attemptsBefore = fleet.metric(fleet.vmOf("status"), "attempts_total");
    for (ChildProcess *const process : processes(party))
      process->signal(number);
  }

  void apply(const Fault &fault, GCancellable *caller) {
    const auto setMode = [&](const char *mode) {
      fleet.setPlatform({{"mode", mode}, {"delayMs", FaultDelay.count()}});
    };
    switch (fault.failure) {
    case Failure::Kill:
      for (ChildProcess *const process : processes(fault.party))
        process->kill();
      break;
    case Failure::Freeze:
      signalAll(fault.party, SIGSTOP);
      break;
    case Failure::Cut:
      g_cancellable_cancel(caller);
      break;
    case Failure::Down:
      setMode("down");
      break;
    case Failure::Slow:
      setMode("slow");
      break;
    case Failure::Late:
      setMode("late");
      break;
    case Failure::LoseAnswers:
      setMode("lose");
      break;
    }
  }

  void mend(std::span<const Fault> faults, const std::string &row) {
    for (const Fault &fault : faults) {
      if (fault.failure == Failure::Freeze)
        signalAll(fault.party, SIGCONT);
      if (fault.failure == Failure::Kill)
        restart(fault.party);
    }
    fleet.setPlatform({{"mode", "up"}});
    isOutcomeHeld = false;
    CHECK_TEXT(Fleet::waitUntil([this] { return isServing(); }), row.c_str());
    setTargets({{"serviceMs", 2.0}, {"bodyMs", 0}});
  }

  void restart(Party party) {
    if (party == Party::Ingress)
      fleet.startNode(fleet.vmOf("status"));
    for (std::size_t n = 0; n < Targets; ++n) {
      if (party == Party::Gate)
        fleet.startNode(fleet.vmOf("release", n));
      if (party == Party::TargetProcess)
        fleet.startTarget(fleet.vmOf("release", n));
    }
  }

  bool isServing() {
    for (std::size_t n = 0; n < fleet.vms.size(); ++n) {
      const json state = fleet.status(n);
      if (state.is_null() || state.value("version", 0) == 0 ||
          state.value("present", 0U) != fleet.vms.size())
        return false;
    }
    for (std::size_t n = 0; n < Targets; ++n) {
      const std::size_t vm = fleet.vmOf("release", n);
      if (fleet.status(vm).at("gate").at("state") == "absent" ||
          fleet.targetStats(vm).is_null())
        return false;
    }
    return true;
  }

  void resend(const std::string &row, const std::string &key) {
    constexpr unsigned MaxSendings = 40;
    for (unsigned n = 0; n < MaxSendings; ++n) {
      Sending sending{row, key, key + "-" + std::to_string(n), {}};
      sending.answer =
          fleet.http.send(fleet.callers()[n % fleet.vms.size()], "POST",
                          "/release/1", headersOf(sending), "pallet", Patience);
      sendings.push_back(sending);
      const std::string outcome = outcomeOf(sending.answer);
      if (outcome == "answer") {
        answeredKeys.push_back(key);
        return;
      }
      // Nothing is known of an earlier sending, for good.
      if (outcome == "unknown" && sending.answer.status == 502)
        return;
      pause(milliseconds(200));
    }
    FAIL((row + ": not settled: " + sendings.back().answer.body).c_str());
  }

  /** When nothing runs any more: no key has run twice, nothing ran of which its
   * caller was told otherwise, and each key has one answer only. */
  void verifyAll() {
    CHECK(Fleet::waitUntil([this] {
      if (sumOfTargets("running") > 0)
        return false;
      for (std::size_t n = 0; n < fleet.vms.size(); ++n)
        if (fleet.status(n).at("gate").at("inFlight") != 0)
          return false;
      return true;
    }));
    const auto journal = readJournal(fleet);
    for (const Sending &it : sendings) {
      CHECK_TEXT(std::ranges::count(journal, it.key, &JournalEntry::key) <= 1,
                 it.row.c_str());
      if (outcomeOf(it.answer) == "not-run")
        CHECK_EQUAL_TEXT(
            0,
            std::ranges::count(journal, it.requestId, &JournalEntry::requestId),
            it.row.c_str());
    }
    for (const std::string &key : answeredKeys)
      verifyAnswers(key);
  }

  void verifyAnswers(const std::string &key) {
    LONGS_EQUAL(1, countRuns(fleet, key));
    std::string body;
    for (const Sending &it : sendings) {
      if (it.key != key || outcomeOf(it.answer) != "answer")
        continue;
      if (body.empty())
        body = it.answer.body;
      STRCMP_EQUAL_TEXT(body.c_str(), it.answer.body.c_str(), it.row.c_str());
    }
  }
};

} // namespace

TEST_GROUP(AtMostOnceClaim){};
TEST_GROUP(AtMostOnceRun){};
TEST_GROUP(AtMostOnceOutcome){};
TEST_GROUP(AtMostOncePairs){};

TEST(AtMostOnceClaim, NoFaultBeforeTheClaimRunsAKeyTwice) {
  Matrix(Step::BeforeClaim).runAlone();
}

TEST(AtMostOnceClaim, NoFaultAfterTheClaimRunsAKeyTwice) {
  Matrix(Step::AfterClaim).runAlone();
}

TEST(AtMostOnceRun, NoFaultBeforeTheHandOverRunsAKeyTwice) {
  Matrix(Step::BeforeHandOver).runAlone();
}

TEST(AtMostOnceRun, NoFaultDuringTheRunRunsAKeyTwice) {
  Matrix(Step::DuringRun).runAlone();
}

TEST(AtMostOnceOutcome, NoFaultWhileTheAnswerIsOnItsWayRunsAKeyTwice) {
  Matrix(Step::AnswerOnItsWay).runAlone();
}

TEST(AtMostOnceOutcome, NoFaultBeforeTheOutcomeIsStoredRunsAKeyTwice) {
  Matrix(Step::BeforeOutcome).runAlone();
}

TEST(AtMostOncePairs, NoTwoFaultsAfterTheClaimRunAKeyTwice) {
  Matrix(Step::AfterClaim).runInPairs(5);
}

TEST(AtMostOncePairs, NoTwoFaultsDuringTheRunRunAKeyTwice) {
  Matrix(Step::DuringRun).runInPairs(7);
}
