/** \file
 * Every fault at every step of a change of the configuration, alone and two at
 * a time. */
#include "base/Settings.h"
#include "operator/MainLoop.h"
#include "support/FaultFixture.h"
#include "support/FleetFaults.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/** When the fault comes. */
enum class Step { BeforeText, BeforeSwap, AfterSwap, NodesTakeIt };

constexpr Step Steps[] = {Step::BeforeText, Step::BeforeSwap, Step::AfterSwap,
                          Step::NodesTakeIt};

const char *toString(Step step) {
  switch (step) {
  case Step::BeforeText:
    return "before the text is written";
  case Step::BeforeSwap:
    return "before the swap";
  case Step::AfterSwap:
    return "after the swap, before its answer";
  case Step::NodesTakeIt:
    return "while nodes take the version";
  }
  return "";
}

/** What is changed. */
enum class Change { Apply, MoveDomain };

constexpr FaultParty Parties[] = {FaultParty::PlatformStore, FaultParty::Client,
                                  FaultParty::Peer};
constexpr milliseconds HoldTime{300};
/** Longer than a command waits for one answer of the platform. */
constexpr milliseconds FaultTime{2'500};
constexpr milliseconds ConvergenceLimit{30'000};
constexpr const char *MovedDomain = "domain-1";

/** A change as its operator saw it. */
struct Order {
  std::string row;
  std::string author;
  /** -1 if the command was killed. */
  int code = -1;
  std::string messages;

  bool isAccepted() const { return code == 0; }
  /** The command told that it is not known, or could not tell. */
  bool isUnknown() const {
    return code == -1 || messages.find("is not known") != std::string::npos;
  }
};

/** Makes changes, strikes at a step, mends, and checks after each row that what
 * was accepted holds and nothing else. */
class Matrix {
public:
  explicit Matrix(Change change) : fleet(makePlan(2, 1)), change(change) {
    CHECK(fleet.start());
  }

  void run(std::span<const Step> steps, const std::vector<FaultList> &rows) {
    for (const Step step : steps)
      for (const FaultList &faults : rows)
        if (step != Step::NodesTakeIt || !strikes(faults, FaultParty::Client))
          runRow(step, faults);
    verifyHistory();
  }

private:
  Fleet fleet;
  const Change change;
  std::vector<Order> orders;
  /** By the newest accepted change. */
  bool isMovedOut = false;
  unsigned rowsMovedOut = 0;
  /** The newest version seen at each node process. */
  std::map<int, std::uint64_t> versions;

  void runRow(Step step, const FaultList &faults) {
    Order order{describe(faults, toString(step)),
                "row-" + std::to_string(orders.size()),
                -1,
                {}};
    const std::uint64_t before = arrivalsAt(step);
    hold(step);
    const std::string log = fleet.write("command-" + order.author, "");
    ChildProcess command(commandWords(order.author), log);
    FaultSite site{
        fleet, {}, fleet.vmOf("release", 1), [&] { command.kill(); }};
    if (step == Step::NodesTakeIt)
      order.code = command.wait();
    else
      CHECK_TEXT(Fleet::waitUntil([&] { return arrivalsAt(step) > before; }),
                 order.row.c_str());
    strikeAll(faults, site);
    Fleet::waitUntil([&] { return !command.isRunning(); }, FaultTime);
    mendAll(faults, site);
    CHECK_TEXT(Fleet::waitUntil([this] { return !isWriteUnderWay(); }),
               order.row.c_str());
    order.code = command.wait();
    order.messages = readFile(log).value();
    orders.push_back(order);
    verifyConvergence(order);
  }

  void hold(Step step) {
    if (step == Step::NodesTakeIt)
      return;
    // The command gives up waiting for the swap before it is carried out.
    if (step == Step::BeforeSwap)
      fleet.setPlatform({{"mode", "late"},
                         {"delayMs", FaultDelay.count()},
                         {"only", "/rows-tx"}});
    else
      fleet.setPlatform({{"mode", step == Step::AfterSwap ? "slow" : "late"},
                         {"delayMs", HoldTime.count()}});
  }

  std::vector<std::string> commandWords(const std::string &author) {
    std::vector<std::string> words{binFolder() + "/plantainhatch", "--settings",
                                   fleet.operatorSettingsFile()};
    if (change == Change::Apply)
      std::ranges::move(
          std::vector<std::string>{
              "apply",
              fleet.write("rules-" + author, TwoServices + "# " + author)},
          std::back_inserter(words));
    else
      words.insert(words.end(),
                   {"domain", isMovedOut ? "in" : "out", MovedDomain});
    words.insert(words.end(), {"--who", author});
    return words;
  }

  /** Requests of commands that have arrived at the platform. */
  std::uint64_t arrivalsAt(Step step) {
    const auto answer = fleet.http.get(fleet.platform, "/standin/stats");
    return json::parse(answer.body)
        .at("arrivals")
        .value(step == Step::BeforeText ? "objects/test-config" : "test-config",
               std::uint64_t{0});
  }

  /** What a killed command has sent may be carried out later. */
  bool isWriteUnderWay() {
    const auto answer = fleet.http.get(fleet.platform, "/standin/stats");
    return json::parse(answer.body).at("delayed") > 0;
  }

  json history() {
    const auto output = fleet.command({"history", "--json"});
    return json::parse(output.out, nullptr, false);
  }

  /** No process of a node ever goes back. */
  std::uint64_t versionAt(std::size_t vm) {
    const json state = fleet.status(vm);
    if (state.is_null())
      return 0;
    const auto version = state.value("version", std::uint64_t{0});
    std::uint64_t &newest = versions[fleet.vms[vm]->node->id()];
    CHECK(version >= newest);
    newest = version;
    return version;
  }

  void verifyConvergence(const Order &order) {
    json list;
    CHECK_TEXT(Fleet::waitUntil([&] {
                 list = history();
                 return list.is_array() && !list.empty();
               }),
               order.row.c_str());
    const auto newest = list.back().at("version").get<std::uint64_t>();
    CHECK_TEXT(Fleet::waitUntil(
                   [&] {
                     bool isEverywhere = true;
                     for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm)
                       isEverywhere = versionAt(vm) >= newest && isEverywhere;
                     return isEverywhere && fleet.isComplete();
                   },
                   ConvergenceLimit),
               order.row.c_str());
    verifyOutcome(order, list);
    verifyObedience(list, order.row + ": " + order.messages);
  }

  /** What the command has told is so: accepted once, or not at all. */
  static void verifyOutcome(const Order &order, const json &list) {
    const auto times = std::ranges::count_if(list, [&](const json &head) {
      return head.at("author") == order.author;
    });
    const std::string text = order.row + ": " + order.messages;
    CHECK_TEXT(times <= 1, text.c_str());
    if (order.isAccepted() && !isInForceAlready(order))
      CHECK_EQUAL_TEXT(1, times, text.c_str());
    if (!order.isAccepted() && !order.isUnknown())
      CHECK_EQUAL_TEXT(0, times, text.c_str());
  }

  static bool isInForceAlready(const Order &order) {
    return order.messages.find("in force already") != std::string::npos;
  }

  /** All nodes have the same text, serve, and obey the move. */
  void verifyObedience(const json &list, const std::string &text) {
    const std::size_t moved = fleet.vmOf("status", 1);
    const auto runsBefore =
        fleet.targetStats(moved).at("runs").get<std::uint64_t>();
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
      CHECK_EQUAL_TEXT(list.back().at("digest").get<std::string>(),
                       fleet.status(vm).at("digest").get<std::string>(),
                       text.c_str());
      for (unsigned n = 0; n < 3; ++n)
        CHECK_EQUAL_TEXT(
            200, fleet.http.get(fleet.vms[vm]->callers, "/status").status,
            text.c_str());
    }
    const std::string last = list.back().at("change");
    isMovedOut = last == std::string("domain ") + MovedDomain + " out";
    if (!isMovedOut)
      return;
    ++rowsMovedOut;
    CHECK_EQUAL_TEXT(runsBefore,
                     fleet.targetStats(moved).at("runs").get<std::uint64_t>(),
                     text.c_str());
  }

  /** Accepted changes stand in order, each once; refused ones never came after
   * all. */
  void verifyHistory() {
    const json list = history();
    for (std::size_t n = 0; n < list.size(); ++n)
      CHECK_EQUAL(n + 1, list[n].at("version").get<std::size_t>());
    for (const Order &order : orders)
      verifyOutcome(order, list);
    CHECK_EQUAL(change == Change::MoveDomain, rowsMovedOut > 0);
  }
};

} // namespace

TEST_GROUP(ApplyMatrix){};
TEST_GROUP(MoveMatrix){};

TEST(ApplyMatrix, AcceptedRulesHoldWhateverFailsAtAnyStep) {
  Matrix(Change::Apply).run(Steps, faultsOf(Parties));
}

TEST(MoveMatrix, AcceptedMovesHoldWhateverFailsAtAnyStep) {
  Matrix(Change::MoveDomain).run(Steps, faultsOf(Parties));
}

TEST(MoveMatrix, AcceptedMovesHoldWhateverTwoThingsFailAroundTheSwap) {
  constexpr Step AroundTheSwap[] = {Step::BeforeSwap, Step::AfterSwap};
  constexpr std::size_t Distance = 3;
  Matrix(Change::MoveDomain)
      .run(AroundTheSwap, faultPairsOf(Parties, Distance));
}
