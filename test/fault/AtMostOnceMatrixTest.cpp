/** \file
 * Every fault at every step of a call that runs at most once, alone and two at
 * a time, with its caller sending again each time. */
#include "operator/MainLoop.h"
#include "request/HeaderNames.h"
#include "support/FaultFixture.h"
#include "support/FleetFaults.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/** The nodes of both targets are the actors, the ingress is the peer, and the
 * caller is the client. */
constexpr FaultParty Parties[] = {FaultParty::PlatformStore, FaultParty::Client,
                                  FaultParty::Peer, FaultParty::Actor,
                                  FaultParty::ActorTarget};

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
constexpr double HeldRunMs = 800;
constexpr milliseconds BeforeOutcomeRun{150};
/** Longer than the deadline of the rule. */
constexpr milliseconds Patience{2'600};

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
  explicit Matrix(Step step)
      : fleet(makePlan(2, 1)), site{fleet,
                                    {fleet.vmOf("release", 0),
                                     fleet.vmOf("release", 1)},
                                    fleet.vmOf("status"),
                                    nullptr},
        step(step) {}

  /** \pre Called once. */
  void run(const std::vector<FaultList> &rows) {
    CHECK(fleet.start());
    std::ranges::for_each(rows,
                          [this](const FaultList &faults) { runRow(faults); });
    verifyAll();
  }

private:
  Fleet fleet;
  FaultSite site;
  const Step step;
  unsigned nextKey = 0;
  std::vector<Sending> sendings;
  /** Keys that were answered, and not told to be unknown for good. */
  std::vector<std::string> answeredKeys;
  double attemptsBefore = 0;
  bool isOutcomeHeld = false;

  void runRow(const FaultList &faults) {
    const std::string key = "key-" + std::to_string(++nextKey);
    const std::string row = describe(faults, toString(step));
    const std::uint64_t arrivals = claimArrivals();
    hold();
    Sending sending{row, key, key + "-first", {}};
    std::optional<HttpAnswer> first;
    const auto caller = fleet.http.sendAsync(
        fleet.vms[site.peer]->callers, "POST", "/release/1", headersOf(sending),
        "pallet", Patience,
        [&](HttpAnswer answer) { first = std::move(answer); });
    CHECK_TEXT(Fleet::waitUntil([&] { return isAtStep(arrivals); }),
               row.c_str());
    site.endClient = [&] { g_cancellable_cancel(caller.get()); };
    strikeAll(faults, site);
    if (step == Step::BeforeHandOver && !strikes(faults, FaultParty::Actor))
      signalActors(site, SIGCONT);
    Fleet::waitUntil([&] { return first.has_value(); });
    CHECK_TEXT(first.has_value(), row.c_str());
    sending.answer = *first;
    sendings.push_back(sending);
    mend(faults, row);
    resend(row, key);
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
    for (const std::size_t vm : site.actors)
      fleet.setTarget(vm, order);
  }

  std::uint64_t sumOfTargets(const char *name) {
    std::uint64_t sum = 0;
    for (const std::size_t vm : site.actors) {
      const json stats = fleet.targetStats(vm);
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
      attemptsBefore = fleet.metric(site.peer, "attempts_total");
      signalActors(site, SIGSTOP);
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
      return fleet.metric(site.peer, "attempts_total") > attemptsBefore;
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

  void mend(const FaultList &faults, const std::string &row) {
    mendAll(faults, site);
    isOutcomeHeld = false;
    CHECK_TEXT(Fleet::waitUntil([this] { return isServing(); }), row.c_str());
    setTargets({{"serviceMs", 2.0}, {"bodyMs", 0}});
  }

  bool isServing() {
    for (std::size_t n = 0; n < fleet.vms.size(); ++n) {
      const json state = fleet.status(n);
      if (state.is_null() || state.value("version", 0) == 0 ||
          state.value("present", 0U) != fleet.vms.size())
        return false;
    }
    for (const std::size_t vm : site.actors) {
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
  Matrix(Step::BeforeClaim).run(faultsOf(Parties));
}

TEST(AtMostOnceClaim, NoFaultAfterTheClaimRunsAKeyTwice) {
  Matrix(Step::AfterClaim).run(faultsOf(Parties));
}

TEST(AtMostOnceRun, NoFaultBeforeTheHandOverRunsAKeyTwice) {
  Matrix(Step::BeforeHandOver).run(faultsOf(Parties));
}

TEST(AtMostOnceRun, NoFaultDuringTheRunRunsAKeyTwice) {
  Matrix(Step::DuringRun).run(faultsOf(Parties));
}

TEST(AtMostOnceOutcome, NoFaultWhileTheAnswerIsOnItsWayRunsAKeyTwice) {
  Matrix(Step::AnswerOnItsWay).run(faultsOf(Parties));
}

TEST(AtMostOnceOutcome, NoFaultBeforeTheOutcomeIsStoredRunsAKeyTwice) {
  Matrix(Step::BeforeOutcome).run(faultsOf(Parties));
}

TEST(AtMostOncePairs, NoTwoFaultsAfterTheClaimRunAKeyTwice) {
  Matrix(Step::AfterClaim).run(faultPairsOf(Parties, 5));
}

TEST(AtMostOncePairs, NoTwoFaultsDuringTheRunRunAKeyTwice) {
  Matrix(Step::DuringRun).run(faultPairsOf(Parties, 7));
}
