/** \file
 * Every fault at every step of a call that runs at most once, with its caller
 * sending again each time. */
#include "operator/MainLoop.h"
#include "support/FaultFixture.h"

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/** Who fails. */
enum class Party { Ingress, Gate, TargetProcess, PlatformStore, CallerItself };

/** How. */
enum class Fault { Kill, Freeze, Cut, Slow, LoseAnswers };

/** When: the call is held at a step by a slow platform or a slow target. */
enum class Step { BeforeClaim, DuringRun, BeforeOutcome };

struct Row {
  Party party;
  Fault fault;
  Step step;
  const char *name;
};

const Row Rows[] = {
    {Party::Ingress, Fault::Kill, Step::BeforeClaim,
     "ingress killed before claim"},
    {Party::Ingress, Fault::Kill, Step::DuringRun, "ingress killed during run"},
    {Party::Ingress, Fault::Kill, Step::BeforeOutcome,
     "ingress killed before outcome"},
    {Party::Ingress, Fault::Freeze, Step::BeforeClaim,
     "ingress frozen before claim"},
    {Party::Ingress, Fault::Freeze, Step::DuringRun,
     "ingress frozen during run"},
    {Party::Ingress, Fault::Freeze, Step::BeforeOutcome,
     "ingress frozen before outcome"},
    {Party::Gate, Fault::Kill, Step::BeforeClaim, "gates killed before claim"},
    {Party::Gate, Fault::Kill, Step::DuringRun, "gates killed during run"},
    {Party::Gate, Fault::Freeze, Step::BeforeClaim,
     "gates frozen before claim"},
    {Party::Gate, Fault::Freeze, Step::DuringRun, "gates frozen during run"},
    {Party::TargetProcess, Fault::Kill, Step::BeforeClaim,
     "targets killed before claim"},
    {Party::TargetProcess, Fault::Kill, Step::DuringRun,
     "targets killed during run"},
    {Party::TargetProcess, Fault::Freeze, Step::BeforeClaim,
     "targets frozen before claim"},
    {Party::TargetProcess, Fault::Freeze, Step::DuringRun,
     "targets frozen during run"},
    {Party::PlatformStore, Fault::Kill, Step::BeforeClaim,
     "platform down before claim"},
    {Party::PlatformStore, Fault::Kill, Step::DuringRun,
     "platform down during run"},
    {Party::PlatformStore, Fault::Slow, Step::BeforeClaim,
     "platform slow before claim"},
    {Party::PlatformStore, Fault::Slow, Step::DuringRun,
     "platform slow during run"},
    {Party::PlatformStore, Fault::LoseAnswers, Step::BeforeClaim,
     "platform loses answers before claim"},
    {Party::PlatformStore, Fault::LoseAnswers, Step::DuringRun,
     "platform loses answers during run"},
    {Party::PlatformStore, Fault::Freeze, Step::BeforeClaim,
     "platform frozen before claim"},
    {Party::PlatformStore, Fault::Freeze, Step::DuringRun,
     "platform frozen during run"},
    {Party::CallerItself, Fault::Cut, Step::BeforeClaim,
     "caller gone before claim"},
    {Party::CallerItself, Fault::Cut, Step::DuringRun,
     "caller gone during run"},
};

constexpr milliseconds HoldTime{400};
constexpr milliseconds FaultAfter{150};

/** Sends a key, brings about one fault at one step, mends it, and sends the key
 * again through other nodes until an answer settles it. */
class Matrix {
public:
  Matrix() : fleet(makePlan(2, 1)) {}

  bool start() { return fleet.start(); }

  void run(const Row &row, const std::string &key) {
    const std::size_t ingress = fleet.vmOf("status");
    hold(row.step);
    std::vector<std::string> told;
    std::optional<HttpAnswer> first;
    const milliseconds patience =
        row.party == Party::CallerItself ? FaultAfter : milliseconds(4000);
    fleet.http.sendAsync(fleet.vms[ingress]->callers, "POST", "/release/1",
                         {{"Idempotency-Key", key}}, "pallet", patience,
                         [&](HttpAnswer answer) { first = std::move(answer); });
    pause(FaultAfter);
    apply(row);
    Fleet::waitUntil([&] { return first.has_value(); });
    check(row, key, *first);
    mend(row);
    resend(row, key);
  }

private:
  Fleet fleet;

  void hold(Step step) {
    if (step == Step::BeforeClaim)
      fleet.setPlatform({{"mode", "slow"}, {"delayMs", HoldTime.count()}});
    for (std::size_t n = 0; n < 2; ++n)
      fleet.setTarget(fleet.vmOf("release", n),
                      {{"serviceMs", step == Step::DuringRun ? 800.0 : 2.0}});
    if (step == Step::BeforeOutcome)
      fleet.setPlatform({{"mode", "slow"}, {"delayMs", 60}});
  }

  std::vector<ChildProcess *> processes(Party party) {
    std::vector<ChildProcess *> found;
    if (party == Party::Ingress)
      found.push_back(fleet.vms[fleet.vmOf("status")]->node.get());
    if (party == Party::PlatformStore)
      found.push_back(fleet.platformProcess.get());
    for (std::size_t n = 0; n < 2; ++n) {
      Vm &vm = *fleet.vms[fleet.vmOf("release", n)];
      if (party == Party::Gate)
        found.push_back(vm.node.get());
      if (party == Party::TargetProcess)
        found.push_back(vm.targetProcess.get());
    }
    return found;
  }

  void apply(const Row &row) {
    if (row.party == Party::PlatformStore && row.fault != Fault::Freeze) {
      const char *const mode = row.fault == Fault::Kill   ? "down"
                               : row.fault == Fault::Slow ? "slow"
                                                          : "lose";
      fleet.setPlatform({{"mode", mode}, {"delayMs", 1800}});
      return;
    }
    for (ChildProcess *const process : processes(row.party)) {
      if (row.fault == Fault::Kill)
        process->kill();
      else if (row.fault == Fault::Freeze)
        process->signal(SIGSTOP);
    }
  }

  void mend(const Row &row) {
    if (row.fault == Fault::Freeze)
      for (ChildProcess *const process : processes(row.party))
        process->signal(SIGCONT);
    fleet.setPlatform({{"mode", "up"}});
    if (row.fault == Fault::Kill && row.party == Party::Ingress)
      fleet.startNode(fleet.vmOf("status"));
    for (std::size_t n = 0; n < 2; ++n) {
      const std::size_t vm = fleet.vmOf("release", n);
      if (row.fault == Fault::Kill && row.party == Party::Gate)
        fleet.startNode(vm);
      if (row.fault == Fault::Kill && row.party == Party::TargetProcess)
        fleet.startTarget(vm);
    }
    CHECK_TEXT(Fleet::waitUntil([this] { return isServing(); }), row.name);
    for (std::size_t n = 0; n < 2; ++n)
      fleet.setTarget(fleet.vmOf("release", n), {{"serviceMs", 2.0}});
  }

  bool isServing() {
    for (std::size_t n = 0; n < fleet.vms.size(); ++n) {
      const json state = fleet.status(n);
      if (state.is_null() || state.value("version", 0) == 0 ||
          state.value("present", 0U) != fleet.vms.size())
        return false;
    }
    for (std::size_t n = 0; n < 2; ++n)
      if (fleet.status(fleet.vmOf("release", n)).at("gate").at("state") ==
          "absent")
        return false;
    return true;
  }

  void check(const Row &row, const std::string &key, const HttpAnswer &answer) {
    const unsigned runs = countRuns(fleet, key);
    CHECK_TEXT(runs <= 1, row.name);
    if (outcomeOf(answer) == "not-run")
      CHECK_EQUAL_TEXT(0, runs, row.name);
    if (outcomeOf(answer) == "answer")
      CHECK_EQUAL_TEXT(1, runs, row.name);
  }

  void resend(const Row &row, const std::string &key) {
    bool isSettled = false;
    std::string last;
    for (int n = 0; n < 40 && !isSettled; ++n) {
      const Address node =
          fleet.callers()[static_cast<std::size_t>(n) % fleet.vms.size()];
      const auto answer = fleet.http.send(node, "POST", "/release/1",
                                          {{"Idempotency-Key", key}}, "pallet",
                                          milliseconds(4000));
      check(row, key, answer);
      last = outcomeOf(answer) + " " + std::to_string(answer.status) + " " +
             answer.body;
      const bool isRunning = answer.status == 409;
      isSettled = outcomeOf(answer) == "answer" ||
                  (outcomeOf(answer) == "unknown" && answer.status == 502);
      if (!isSettled)
        pause(milliseconds(isRunning ? 300 : 100));
    }
    CHECK_TEXT(isSettled, (std::string(row.name) + ": " + last).c_str());
  }
};

} // namespace

TEST_GROUP(AtMostOnce){};

TEST(AtMostOnce, NoFaultAtAnyStepRunsAKeyTwice) {
  Matrix matrix;
  CHECK(matrix.start());
  unsigned n = 0;
  for (const Row &row : Rows)
    matrix.run(row, "key-" + std::to_string(++n));
}

TEST(AtMostOnce, ResendAfterAnAnswerGetsTheSameAnswer) {
  Fleet fleet(makePlan(2, 1));
  CHECK(fleet.start());
  const auto send = [&](std::size_t node, const std::string &body) {
    return fleet.http.send(fleet.callers()[node], "POST", "/release/9",
                           {{"Idempotency-Key", "k"}}, body);
  };
  const auto first = send(0, "pallet");
  CHECK_EQUAL(200, first.status);
  HttpAnswer again;
  CHECK(Fleet::waitUntil([&] {
    again = send(1, "pallet");
    return again.status != 409;
  }));
  STRCMP_EQUAL(first.body.c_str(), again.body.c_str());
  CHECK_EQUAL(422, send(2, "another pallet").status);
  CHECK_EQUAL(1, countRuns(fleet, "k"));
}

TEST(AtMostOnce, CallWithAKeyThatNoTargetTakesCanBeSentAgain) {
  Fleet fleet(makePlan(1, 1));
  CHECK(fleet.start());
  const auto vm = fleet.vmOf("release");
  fleet.setTarget(vm, {{"sheds", true}});
  const auto send = [&] {
    return fleet.http.send(fleet.callers()[0], "POST", "/release/9",
                           {{"Idempotency-Key", "k"}}, "pallet");
  };
  const auto refused = send();
  CHECK_EQUAL(503, refused.status);
  STRCMP_EQUAL("not-run", outcomeOf(refused).c_str());
  CHECK_EQUAL(0, countRuns(fleet, "k"));
  fleet.setTarget(vm, {{"sheds", false}});
  CHECK(Fleet::waitUntil([&] { return send().status == 200; }));
  CHECK_EQUAL(1, countRuns(fleet, "k"));
}

TEST(AtMostOnce, ClientLibraryDoesNotSendAgainBehindTheGate) {
  Fleet fleet(makePlan(1, 1));
  CHECK(fleet.start());
  const auto vm = fleet.vmOf("status");
  const Address node = fleet.vms[vm]->callers;
  CHECK_EQUAL(200, fleet.http.get(node, "/status").status);
  fleet.setTarget(vm, {{"closesReused", true}});
  // The connection is kept alive from the first call, and is cut after the
  // target has read the second.
  fleet.http.get(node, "/status");
  const auto before = fleet.targetStats(vm).at("runs").get<unsigned>();
  const double attemptsBefore = fleet.metric(vm, "attempts_total");
  const auto answer = fleet.http.send(node, "GET", "/status/second");
  const auto runs = fleet.targetStats(vm).at("runs").get<unsigned>() - before;
  const double attempts = fleet.metric(vm, "attempts_total") - attemptsBefore;
  CHECK_EQUAL(attempts, runs);
  CHECK(answer.status == 200 || outcomeOf(answer) == "unknown");
}
