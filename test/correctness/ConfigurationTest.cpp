/** \file
 * Versions: matching of calls, edits by moves, deltas, and never going back. */
#include "base/Digest.h"
#include "process/ConfigurationReplica.h"
#include "version/RulesEdit.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;

namespace {

ConfigurationHead headFor(std::uint64_t version, const std::string &text) {
  return {version, digestOf(text), "apply-" + std::to_string(version),
          "Test",  "change",       0};
}

ConfigurationPtr build(const std::string &text) {
  return Configuration::build(headFor(1, text), text).value();
}

std::string textWith(unsigned n) {
  return "service s path /s timeout " + std::to_string(n) + "ms  # T\n";
}

} // namespace

TEST_GROUP(Configuration){};

TEST(Configuration, LongestPathPrefixPicksTheService) {
  const auto it = build("service a path /a  # T\n"
                        "service ab path /a/b  # T\n"
                        "service root path /  # T\n");
  STRCMP_EQUAL("ab", it->findService("/a/b/c")->name.c_str());
  STRCMP_EQUAL("a", it->findService("/a/c")->name.c_str());
  STRCMP_EQUAL("root", it->findService("/abc")->name.c_str());
  CHECK(build("service a path /a  # T\n")->findService("/ab") == nullptr);
}

TEST(Configuration, RuleWithTheHostOfACallComesBeforeOneWithoutAHost) {
  ServiceRule any;
  any.name = "any";
  any.pathPrefix = "/a/";
  ServiceRule own = any;
  own.name = "own";
  own.host = "h.example";
  const std::string text = joinRecords({encodeRecord(any), encodeRecord(own)});
  const auto it = Configuration::buildFromRecords(headFor(1, text), text,
                                                  *Configuration::makeEmpty())
                      .value();
  STRCMP_EQUAL("own", it->findService("h.example", "/a/b")->name.c_str());
  STRCMP_EQUAL("any", it->findService("other.example", "/a/b")->name.c_str());
  CHECK(it->findService("h.example", "/a") == nullptr);
}

// Guards against a version that shares rules with one whose lines differ.
TEST(Configuration, RulesAreSharedForEqualLinesOnly) {
  std::mt19937_64 random(21);
  ConfigurationPtr previous = Configuration::makeEmpty();
  for (std::uint64_t version = 1; version < 200; ++version) {
    std::vector<std::string> lines;
    for (unsigned n = 0; n < 12; ++n) {
      if (random() % 4 == 0)
        continue;
      ServiceRule rule;
      rule.name = "s" + std::to_string(n);
      rule.pathPrefix = "/" + std::to_string(n) + "/";
      rule.timeout = std::chrono::milliseconds(1 + random() % 3);
      lines.push_back(encodeRecord(rule));
    }
    const std::string text = joinRecords(std::move(lines));
    const auto next =
        Configuration::buildFromRecords(headFor(version, text), text, *previous)
            .value();
    const auto alone =
        Configuration::buildFromRecords(headFor(version, text), text,
                                        *Configuration::makeEmpty())
            .value();
    CHECK_EQUAL(alone->serviceCount(), next->serviceCount());
    for (unsigned n = 0; n < 12; ++n) {
      const std::string path = "/" + std::to_string(n) + "/x";
      const ServiceRule *const rule = next->findService("h", path);
      const ServiceRule *const same = alone->findService("h", path);
      CHECK_EQUAL(same == nullptr, rule == nullptr);
      CHECK(rule == nullptr || rule->timeout == same->timeout);
    }
    previous = next;
  }
}

TEST(Configuration, VmIsFoundByNumberAndByNumberWithPort) {
  const auto it = build("vm 10.0.0.7 out # T\nvm 10.0.0.8:81 out # T\n");
  CHECK(it->findVmOut({"10.0.0.7", 5}) != nullptr);
  CHECK(it->findVmOut({"10.0.0.8", 81}) != nullptr);
  CHECK(it->findVmOut({"10.0.0.8", 82}) == nullptr);
}

TEST(Configuration, TextThatDoesNotFitItsHeadIsRefused) {
  CHECK_FALSE(
      Configuration::build(headFor(1, textWith(1)), textWith(2)).has_value());
}

TEST(Configuration, MoveOutAndInLeavesOtherLinesAlone) {
  const std::string text = "service a path /a  # T\n# remark\n";
  Move move{MoveKind::Domain, MoveDirection::Out, "d", "Night shift"};
  const std::string out = applyMove(*build(text), move);
  STRCMP_EQUAL((text + "domain d out  # Night shift\n").c_str(), out.c_str());
  STRCMP_EQUAL(out.c_str(), applyMove(*build(out), move).c_str());
  move.direction = MoveDirection::In;
  STRCMP_EQUAL(text.c_str(), applyMove(*build(out), move).c_str());
}

TEST(Configuration, DeltaTurnsOneTextIntoAnother) {
  std::mt19937_64 random(7);
  const auto makeText = [&random] {
    std::string text;
    for (auto n = random() % 40; n > 0; --n)
      text += "ab\n"[random() % 3];
    return text;
  };
  for (int n = 0; n < 2000; ++n) {
    const std::string from = makeText();
    const std::string to = makeText();
    CHECK(TextDelta::between(from, to).apply(from) == to);
  }
}

TEST(Configuration, DeltaOfOneLineIsSmallInALargeText) {
  std::string text;
  for (unsigned n = 0; n < 690; ++n)
    text += "service s" + std::to_string(n) + " path /p" + std::to_string(n) +
            "  # T\n";
  const std::string out = text + "domain sierra-a out  # Night shift\n";
  CHECK(TextDelta::between(text, out).insertedBytes() < 64);
}

// Guards against a delta that spans all that lies between two changed lines.
TEST(Configuration, DeltaOfLinesFarApartIsSmallInASortedText) {
  std::string from;
  std::string to;
  for (unsigned n = 1'000; n < 4'000; ++n) {
    const std::string line = "service s" + std::to_string(n);
    from += line + " timeout 1s\n";
    if (n != 2'000)
      to +=
          line + (n == 1'002 || n == 3'990 ? " timeout 2s\n" : " timeout 1s\n");
    if (n == 3'000)
      to += line + "a timeout 1s\n";
  }
  const TextDelta delta = TextDelta::between(from, to);
  CHECK(delta.apply(from) == to);
  CHECK(delta.insertedBytes() < 128);
  CHECK(TextDelta::between(to, from).apply(to) == from);
}

TEST(Configuration, OlderVersionIsNeverTakenWhoeverOffersIt) {
  ConfigurationReplica keeper;
  CHECK(keeper.adopt(headFor(5, textWith(5)), textWith(5)) ==
        AdoptResult::Adopted);
  for (unsigned n = 0; n < 5; ++n)
    CHECK(keeper.adopt(headFor(n, textWith(n)), textWith(n)) ==
          AdoptResult::NotNewer);
  const ConfigurationUpdate old{
      0, {}, std::pair(headFor(4, textWith(4)), textWith(4))};
  CHECK(keeper.adopt(old) == AdoptResult::NotNewer);
  CHECK_EQUAL(5, keeper.version());
}

TEST(Configuration, OtherTextUnderTheSameVersionIsAConflict) {
  ConfigurationReplica keeper;
  keeper.adopt(headFor(2, textWith(2)), textWith(2));
  CHECK(keeper.adopt(headFor(2, textWith(9)), textWith(9)) ==
        AdoptResult::Conflict);
  STRCMP_EQUAL(textWith(2).c_str(), keeper.current()->text().c_str());
}

TEST(Configuration, LaggingPeerIsBroughtForwardBySteps) {
  ConfigurationReplica ahead;
  ConfigurationReplica behind;
  for (unsigned n = 1; n <= 20; ++n) {
    ahead.adopt(headFor(n, textWith(n)), textWith(n));
    if (n == 5)
      behind.adopt(headFor(n, textWith(n)), textWith(n));
  }
  const auto update =
      ahead.updateFor(behind.version(), behind.current()->head().digest);
  CHECK_FALSE(update->snapshot.has_value());
  CHECK_EQUAL(15, update->deltas.size());
  CHECK(behind.adopt(*update) == AdoptResult::Adopted);
  CHECK_EQUAL(20, behind.version());
}

// Guards against a whole table for each change, where the store numbers its
// versions in uneven steps.
TEST(Configuration, LaggingPeerIsBroughtForwardByStepsOfAnyLength) {
  ConfigurationReplica ahead;
  ConfigurationReplica behind;
  for (const unsigned n : {3U, 7U, 40U, 41U}) {
    ahead.adopt(headFor(n, textWith(n)), textWith(n));
    if (n == 7)
      behind.adopt(headFor(n, textWith(n)), textWith(n));
  }
  const auto update =
      ahead.updateFor(behind.version(), behind.current()->head().digest);
  CHECK_FALSE(update->snapshot.has_value());
  CHECK(behind.adopt(*update) == AdoptResult::Adopted);
  CHECK_EQUAL(41, behind.version());
  STRCMP_EQUAL(textWith(41).c_str(), behind.current()->text().c_str());
}

// Guards against a whole table for a peer that has it already, under the number
// of an earlier version.
TEST(Configuration, PeerWithTheSameTextGetsOnlyTheHead) {
  ConfigurationReplica ahead;
  ConfigurationReplica behind;
  ahead.adopt(headFor(9, textWith(1)), textWith(1));
  behind.adopt(headFor(4, textWith(1)), textWith(1));
  const auto update =
      ahead.updateFor(behind.version(), behind.current()->head().digest);
  CHECK_FALSE(update->snapshot.has_value());
  CHECK(behind.adopt(*update) == AdoptResult::Adopted);
  CHECK_EQUAL(9, behind.version());
}

TEST(Configuration, PeerWithAnotherTextGetsTheWholeOne) {
  ConfigurationReplica ahead;
  for (unsigned n = 1; n <= 3; ++n)
    ahead.adopt(headFor(n, textWith(n)), textWith(n));
  const auto update = ahead.updateFor(1, digestOf("another text"));
  CHECK(update->snapshot.has_value());
}

TEST(Configuration, PeerFartherBehindThanTheKeptStepsGetsTheWholeText) {
  ConfigurationReplica ahead;
  const unsigned last = ConfigurationReplica::MaxDeltas + 10;
  for (unsigned n = 1; n <= last; ++n)
    ahead.adopt(headFor(n, textWith(n)), textWith(n));
  CHECK(ahead.updateFor(2, digestOf(textWith(2)))->snapshot.has_value());
  CHECK_FALSE(ahead.updateFor(last - 1, digestOf(textWith(last - 1)))
                  ->snapshot.has_value());
}

TEST(Configuration, DamagedStepChangesNothingAfterIt) {
  ConfigurationReplica ahead;
  ConfigurationReplica behind;
  for (unsigned n = 1; n <= 3; ++n)
    ahead.adopt(headFor(n, textWith(n)), textWith(n));
  behind.adopt(headFor(1, textWith(1)), textWith(1));
  auto update = *ahead.updateFor(1, digestOf(textWith(1)));
  update.deltas[1].textDelta.edits.front().inserted += "damage";
  CHECK(behind.adopt(update) == AdoptResult::Invalid);
  CHECK_EQUAL(2, behind.version());
}
