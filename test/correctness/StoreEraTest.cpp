/** \file
 * Nodes and a store that comes back from copies, without a network: random
 * orders of writes, answers, messages and restores. */
#include "platform/versionFromRows.h"
#include "process/ConfigurationReplica.h"
#include "process/VersionHistory.h"
#include "version/OperatorDocument.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::platform;

namespace {

constexpr unsigned Seeds = 300;
constexpr unsigned Steps = 200;
constexpr std::size_t Nodes = 4;

std::string documentOf(std::uint64_t number) {
  const nlohmann::json route{
      {"host", "h"}, {"prefix", "/"}, {"kind", "safe"}, {"service", "s"}};
  return nlohmann::json{{"version", number},
                        {"routes", {{"r" + std::to_string(number), route}}},
                        {"services", nlohmann::json::object()}}
      .dump();
}

using Change = std::pair<std::string, std::optional<std::string>>;

/** The store's table of the operator, and the operator, who writes again what a
 * copy lacks. */
struct ModelStore {
  std::map<std::string, Row> rows;
  std::vector<Row> history;
  std::uint64_t number = 0;
  StoreEra era = 0;
  std::vector<Change> sinceCopy;
  std::deque<Change> toRepeat;

  void write(const Change &change) {
    ++number;
    const Row row{change.first, std::to_string(number),
                  change.second.value_or(""), !change.second};
    if (change.second)
      rows[row.key] = row;
    else
      rows.erase(row.key);
    history.push_back(row);
    sinceCopy.push_back(change);
  }
  RowsResult table() const {
    RowsResult result{
        StoreResult::Ok, {}, makeStoreVersion(era, number), false};
    for (const auto &[key, row] : rows)
      result.rows.push_back(row);
    return result;
  }
};

/** What a node has asked the store, answered as of then. */
struct ModelAnswer {
  RowsResult rows;
  bool isTable = false;
};

struct ModelNode {
  ConfigurationReplica replica{Configuration::buildFromRecords};
  std::uint64_t position = 0;
  StoreEra era = 0;
  std::deque<ModelAnswer> answers;
  std::uint64_t lastVersion = 0;
  std::uint64_t lastDocument = 0;
  /** The time has not ended in which a table may lack rows. */
  bool isHolding = false;

  void onEra(StoreEra answeredIn) {
    isHolding = isHolding || (answeredIn > era && replica.version() > 0);
    era = std::max(era, answeredIn);
  }
  void ask(const ModelStore &store, bool wantsTable) {
    const std::uint64_t from = std::max(position, replica.version());
    const bool isTable = wantsTable || eraOf(from) != store.era || from == 0;
    ModelAnswer answer{store.table(), isTable};
    if (!isTable) {
      answer.rows.rows = store.history;
      std::erase_if(answer.rows.rows, [&](const Row &it) {
        return std::stoull(it.etag) <= numberOf(from);
      });
    }
    answers.push_back(std::move(answer));
  }
  void offer(std::optional<OfferedVersion> offered) {
    if (!offered || !offered->text)
      return;
    ConfigurationHead head = makeConfigurationHead(offered->version);
    head.applyId = offered->document;
    replica.adopt(Configuration::makeFromRecords(head, offered->text.value(),
                                                 *replica.current())
                      .value());
    check();
  }
  /** Takes the answers in any order, those of an older era not at all. */
  void take(std::size_t n) {
    const ModelAnswer answer = answers[n];
    answers.erase(answers.begin() + static_cast<std::ptrdiff_t>(n));
    const StoreEra answeredIn = eraOf(answer.rows.storeVersion);
    if (answeredIn < era || answer.rows.storeVersion < position ||
        (answer.isTable && answer.rows.storeVersion < replica.version()))
      return;
    onEra(answeredIn);
    if (!answer.isTable && eraOf(std::max(position, replica.version())) != era)
      return;
    position = answer.rows.storeVersion;
    if (answer.isTable) {
      const ConfigurationPtr before = replica.current();
      offer(versionFromTable(*before, answer.rows, isHolding));
      if (isHolding)
        for (const auto &[name, rule] : before->domainsOut())
          CHECK(replica.current()->findDomainOut(name) != nullptr);
    } else if (replica.version() > 0) {
      offer(versionFromChanges(*replica.current(), answer.rows.rows, era));
    }
  }
  void pullFrom(const ModelNode &peer) {
    const bool isFirst = replica.version() == 0;
    const auto update = peer.replica.updateFor(
        replica.version(), replica.current()->head().digest);
    if (update)
      replica.adopt(*update);
    isHolding = isHolding || (isFirst && eraOf(replica.version()) > 0);
    onEra(eraOf(peer.replica.version()));
    check();
  }
  void check() {
    const ConfigurationHead &head = replica.current()->head();
    const auto document = OperatorDocument::fromText(head.applyId);
    CHECK(head.version >= lastVersion);
    CHECK(!document || document->number >= lastDocument);
    lastVersion = head.version;
    lastDocument = document ? document->number : lastDocument;
  }
};

/** One run of the model. */
struct ModelFleet {
  std::mt19937_64 random;
  ModelStore store;
  ModelStore copy;
  std::uint64_t document = 1;
  std::vector<ModelNode> nodes{Nodes};

  explicit ModelFleet(unsigned seed) : random(seed) {
    store.write({ConfigurationRow, documentOf(document)});
    takeCopy();
  }
  std::size_t draw(std::size_t n) { return random() % n; }
  void takeCopy() {
    if (!store.toRepeat.empty())
      return;
    store.sinceCopy.clear();
    copy = store;
  }
  void restore() {
    auto lost = store.sinceCopy;
    lost.insert(lost.end(), store.toRepeat.begin(), store.toRepeat.end());
    const auto next = static_cast<StoreEra>(store.era + 1);
    store = copy;
    store.era = next;
    store.toRepeat.assign(lost.begin(), lost.end());
  }
  void repeatOne() {
    const Change change = store.toRepeat.front();
    store.toRepeat.pop_front();
    store.write(change);
  }
  void writeNew() {
    const std::string zone = "evacuate/z" + std::to_string(draw(3));
    if (draw(2) == 0)
      store.write({ConfigurationRow, documentOf(document += 1 + draw(3))});
    else if (store.rows.contains(zone))
      store.write({zone, std::nullopt});
    else
      store.write({zone, "{}"});
  }
  void step() {
    ModelNode &node = nodes[draw(Nodes)];
    switch (draw(12)) {
    case 0:
      takeCopy();
      break;
    case 1:
      restore();
      break;
    case 2:
    case 3:
    case 4:
      store.toRepeat.empty() ? writeNew() : repeatOne();
      break;
    case 5:
    case 6:
    case 7:
      node.pullFrom(nodes[draw(Nodes)]);
      break;
    case 8:
    case 9:
      node.ask(store, draw(8) == 0);
      break;
    default:
      if (!node.answers.empty())
        node.take(draw(node.answers.size()));
    }
  }
  /** The operator has written all again, one more document, and the time to
   * hold what is in force is over. */
  void settle() {
    while (!store.toRepeat.empty())
      repeatOne();
    store.write({ConfigurationRow, documentOf(++document)});
    for (ModelNode &it : nodes)
      for (unsigned round = 0; round < 4; ++round) {
        it.answers.clear();
        it.isHolding = false;
        it.ask(store, true);
        it.take(0);
        // Any write of the fleet's own tables.
        ++store.number;
      }
    for (unsigned round = 0; round < Nodes; ++round)
      for (ModelNode &it : nodes)
        for (const ModelNode &peer : nodes)
          it.pullFrom(peer);
  }
};

} // namespace

TEST_GROUP(StoreEraOrder){};

// Guards against a version or a document that goes back at a node, a domain
// that a second read of the table puts in again as its row is missing, and
// nodes that stay apart.
TEST(StoreEraOrder, NothingGoesBackAndAllEndUpEqual) {
  for (unsigned seed = 1; seed <= Seeds; ++seed) {
    ModelFleet fleet(seed);
    for (unsigned n = 0; n < Steps; ++n)
      fleet.step();
    fleet.settle();
    const auto text = encodeRows([&] {
      OperatorRows rows;
      for (const auto &[key, row] : fleet.store.rows)
        rows[key] = row.value;
      return rows;
    }());
    const std::uint64_t version = fleet.nodes.front().replica.version();
    const std::string what = "seed " + std::to_string(seed);
    for (const ModelNode &it : fleet.nodes) {
      CHECK_EQUAL_TEXT(version, it.replica.version(), what.c_str());
      STRCMP_EQUAL_TEXT(text.value().c_str(),
                        it.replica.current()->text().c_str(), what.c_str());
    }
  }
}

TEST(StoreEraOrder, VersionsAreOrderedByEraBeforeNumber) {
  CHECK(makeStoreVersion(1, 3) > makeStoreVersion(0, MaxStoreNumber));
  CHECK_EQUAL(7, makeStoreVersion(0, 7));
  CHECK_EQUAL(3, eraOf(makeStoreVersion(3, 9)));
  CHECK_EQUAL(9, numberOf(makeStoreVersion(3, 9)));
}

// Guards against numbers of two eras that are compared: the row may be newer
// than the rise although its number is lower.
TEST(StoreEraOrder, RowThatIsThereTakesItsDomainOut) {
  ModelStore store;
  store.write({ConfigurationRow, documentOf(1)});
  store.number = 9;
  store.write({"evacuate/z0", std::nullopt});
  ModelNode node;
  node.ask(store, true);
  node.take(0);
  store.number = 5;
  store.write({"evacuate/z0", "{}"});
  store.era = 1;
  node.position = makeStoreVersion(0, 10);
  node.offer(versionFromTable(
      *Configuration::makeFromRecords(makeConfigurationHead(10),
                                      node.replica.current()->text(),
                                      *node.replica.current())
           .value(),
      store.table(), true));
  CHECK(node.replica.current()->findDomainOut("z0") != nullptr);
}

// Guards against calls of a node that has not read the new era yet and are
// refused at once, and against those that are then run for good.
TEST(StoreEraOrder, FirstVersionOfAnEraSupersedesOlderOnesLater) {
  VersionHistory history;
  const TimePoint start{};
  const auto second = std::chrono::seconds(1);
  history.onAdopted(makeStoreVersion(0, 5), start);
  history.onAdopted(makeStoreVersion(1, 4), start + second, true);
  CHECK(*history.supersededAt(makeStoreVersion(0, 5)) ==
        start + second + VersionHistory::EraGrace);
  history.onAdopted(makeStoreVersion(1, 6), start + 2 * second);
  CHECK(*history.supersededAt(makeStoreVersion(0, 5)) == start + 2 * second);
}

// Guards against a real change whose supersession waits as if it were none.
TEST(StoreEraOrder, FirstVersionOfAnEraWithAnotherTextSupersedesAtOnce) {
  VersionHistory history;
  const TimePoint start{};
  const auto second = std::chrono::seconds(1);
  history.onAdopted(makeStoreVersion(0, 5), start);
  history.onAdopted(makeStoreVersion(1, 4), start + second, false);
  CHECK(*history.supersededAt(makeStoreVersion(0, 5)) == start + second);
}
