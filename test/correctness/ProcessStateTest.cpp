/** \file
 * Quarantine, measuring budget, freshness, hybrid time, event ring. */
#include "base/HybridClock.h"
#include "process/EventLog.h"
#include "process/FreshnessGuard.h"
#include "process/HeardVersions.h"
#include "process/MeasureBudget.h"
#include "process/Metrics.h"
#include "process/Quarantine.h"
#include "request/LatencyWindow.h"

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using Source = FreshnessGuard::Source;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));
const Quarantine::TargetInstance FirstCrash{{"127.0.0.1", 1}, "boot"};
const Quarantine::TargetInstance SecondCrash{{"127.0.0.1", 2}, "boot"};

} // namespace

TEST_GROUP(ProcessState){};

TEST(ProcessState, RequestIsQuarantinedAtTheSecondDeath) {
  Quarantine quarantine;
  CHECK(quarantine.onCrash(FirstCrash, {7, 8}, Start).empty());
  CHECK_FALSE(quarantine.isQuarantined(7, Start));
  const auto found = quarantine.onCrash(SecondCrash, {7}, Start);
  CHECK_EQUAL(1, found.size());
  CHECK(quarantine.isQuarantined(7, Start));
  CHECK_FALSE(quarantine.isQuarantined(8, Start));
}

TEST(ProcessState, OneDeathReportedTwiceCountsOnce) {
  Quarantine quarantine;
  quarantine.onCrash(FirstCrash, {7}, Start);
  quarantine.onCrash(FirstCrash, {7}, Start);
  CHECK_FALSE(quarantine.isQuarantined(7, Start));
}

TEST(ProcessState, FullAnswerClearsASuspicion) {
  Quarantine quarantine;
  quarantine.onCrash(FirstCrash, {7}, Start);
  CHECK(quarantine.clear(7));
  CHECK_FALSE(quarantine.clear(7));
  quarantine.onCrash(SecondCrash, {7}, Start);
  CHECK_FALSE(quarantine.isQuarantined(7, Start));
}

TEST(ProcessState, AnswersAreRememberedWithTheirTimeAndBounded) {
  Quarantine quarantine;
  quarantine.onCrash(FirstCrash, {7}, Start);
  CHECK(quarantine.onCompleted(7, Start + std::chrono::seconds(1)));
  CHECK_FALSE(quarantine.onCompleted(7, Start + std::chrono::seconds(2)));
  CHECK(quarantine.wasCompletedSince(7, Start + std::chrono::seconds(2)));
  CHECK_FALSE(quarantine.wasCompletedSince(7, Start + std::chrono::seconds(3)));
  CHECK_FALSE(quarantine.wasCompletedSince(8, Start));
  for (std::size_t n = 0; n < Quarantine::MaxCompletions; ++n)
    quarantine.onCompleted(9, Start + std::chrono::seconds(3));
  CHECK_FALSE(quarantine.wasCompletedSince(7, Start));
}

TEST(ProcessState, QuarantineExpires) {
  Quarantine quarantine;
  quarantine.onCrash(FirstCrash, {7}, Start);
  quarantine.onCrash(SecondCrash, {7}, Start);
  const auto later = Start + Quarantine::Lifetime;
  CHECK_FALSE(quarantine.isQuarantined(7, later));
  quarantine.expire(later);
  CHECK(quarantine.list(later).empty());
}

// Guards against a report that is sent again until all have acknowledged it,
// and each time begins the quarantine anew.
TEST(ProcessState, CrashReportThatIsSentAgainProlongsNothing) {
  Quarantine quarantine;
  quarantine.onCrash(FirstCrash, {7}, Start);
  quarantine.onCrash(SecondCrash, {7}, Start);
  const auto later = Start + Quarantine::Lifetime;
  quarantine.onCrash(SecondCrash, {7}, later - seconds(1));
  CHECK_FALSE(quarantine.isQuarantined(7, later));
}

// Guards against a request that was answered in full and is suspected of the
// same crashes again.
TEST(ProcessState, CrashReportThatIsSentAgainAfterAnAnswerSuspectsNobody) {
  Quarantine quarantine;
  quarantine.onCrash(FirstCrash, {7}, Start);
  CHECK(quarantine.onCompleted(7, Start + seconds(1)));
  quarantine.onCrash(FirstCrash, {7}, Start + seconds(2));
  CHECK(quarantine.list(Start + seconds(2)).empty());
  quarantine.onCrash(SecondCrash, {7}, Start + seconds(3));
  CHECK_FALSE(quarantine.isQuarantined(7, Start + seconds(3)));
  CHECK_EQUAL(1, quarantine.list(Start + seconds(3)).size());
}

TEST(ProcessState, MeasuringNeverExceedsItsBudget) {
  MeasureBudget budget;
  MeasureRule rule;
  rule.messagesPerSecond = 50;
  rule.bytesPerSecond = 4096;
  budget.setRates(rule);
  for (int ms = 0; ms < 10'000; ++ms)
    for (int n = 0; n < 10; ++n)
      budget.trySpend(100, Start + milliseconds(ms));
  // Ten seconds of the rates and one burst of a tenth of a second.
  CHECK(budget.messageCount() <= 505);
  CHECK(budget.byteCount() <= 4096UL * 10 + 410);
  CHECK(budget.byteCount() >= 4096UL * 9);
  CHECK(budget.refusedCount() > 0);
}

TEST(ProcessState, BudgetOfZeroSpendsNothing) {
  MeasureBudget budget;
  MeasureRule rule;
  rule.messagesPerSecond = 0;
  budget.setRates(rule);
  CHECK_FALSE(budget.trySpend(1, Start));
  CHECK_FALSE(budget.trySpend(1, Start + seconds(100)));
}

TEST(ProcessState, PausedProcessIsStaleUntilItIsConfirmed) {
  FreshnessGuard guard;
  guard.onTick(Start);
  CHECK_FALSE(guard.isStale(Start + milliseconds(500)));
  const TimePoint thawed = Start + seconds(30);
  CHECK(guard.isStale(thawed));
  CHECK(guard.takePauseDetected());
  guard.onConfirmed(thawed - milliseconds(1), Source::Peer);
  CHECK(guard.isStale(thawed + milliseconds(10)));
  guard.onConfirmed(thawed + milliseconds(1), Source::Peer);
  CHECK_FALSE(guard.isStale(thawed + milliseconds(20)));
}

// Guards against a VM that was suspended and goes on as if no time had passed,
// as its steady clock has stood still.
TEST(ProcessState, SuspensionThatTheSteadyClockDoesNotCountIsAPause) {
  FreshnessGuard guard;
  guard.onTick(Start, seconds(90));
  guard.onTick(Start + milliseconds(100), seconds(90));
  CHECK_FALSE(guard.isStale(Start + milliseconds(150)));
  const TimePoint resumed = Start + milliseconds(200);
  guard.onTick(resumed, seconds(94));
  CHECK(guard.takePauseDetected());
  CHECK(guard.isStale(resumed));
  guard.onTick(resumed + milliseconds(100), seconds(94));
  CHECK_FALSE(guard.takePauseDetected());
  guard.onConfirmed(resumed + milliseconds(100), Source::Peer);
  CHECK_FALSE(guard.isStale(resumed + milliseconds(100)));
}

// Guards against a node that takes the word of a peer, which may itself lag,
// for the newest version, or still goes by what it knew before a pause.
TEST(ProcessState, OnlyTheStoreShowsThatAVersionIsTheNewest) {
  FreshnessGuard guard;
  guard.onTick(Start);
  CHECK_FALSE(guard.confirmedAt().has_value());
  guard.onConfirmed(Start, Source::Peer);
  CHECK_FALSE(guard.confirmedAt().has_value());
  guard.onConfirmed(Start + milliseconds(20), Source::Store);
  guard.onConfirmed(Start + milliseconds(10), Source::Store);
  CHECK(guard.confirmedAt() == Start + milliseconds(20));
  guard.onTick(Start + seconds(30));
  CHECK_FALSE(guard.confirmedAt().has_value());
}

TEST(ProcessState, StaleProcessServesAgainWhenNobodyAnswers) {
  FreshnessGuard guard;
  guard.onTick(Start);
  TimePoint now = Start + seconds(30);
  CHECK(guard.isStale(now));
  for (int n = 0; n < 25; ++n)
    guard.isStale(now += milliseconds(100));
  CHECK_FALSE(guard.isStale(now));
}

TEST(ProcessState, EffectIsStampedLaterThanItsCauseWhateverTheClocks) {
  HybridClock ahead;
  HybridClock behind;
  const WallTime wall(seconds(1'000'000));
  const HybridTime cause = ahead.stamp(wall + seconds(5));
  CHECK(behind.observe(cause, wall));
  CHECK(behind.stamp(wall) > cause);
}

TEST(ProcessState, ClockFarAheadIsNotFollowed) {
  HybridClock clock;
  const WallTime wall(seconds(1'000'000));
  HybridClock broken;
  const HybridTime far = broken.stamp(wall + std::chrono::hours(9));
  CHECK_FALSE(clock.observe(far, wall));
  CHECK(clock.stamp(wall).wallTime() == wall);
}

TEST(ProcessState, EventRingIsBoundedAndCountsMergeFloods) {
  EventLog log("node");
  for (int n = 0; n < 100'000; ++n)
    log.count(EventKind::CallsRefused, "s", "full");
  log.flushCounts({1});
  CHECK_EQUAL(1, log.since({}).size());
  STRCMP_EQUAL("100000 calls", log.since({})[0].detail.c_str());
  for (std::uint64_t n = 2; n < EventLog::Capacity + 100; ++n)
    log.record({n}, EventKind::StoreDown, "s", "d", "c");
  CHECK_EQUAL(EventLog::Capacity, log.since({}).size());
  CHECK(log.droppedCount() > 0);
  CHECK_EQUAL(1, log.since({log.newest().value - 1}).size());
}

TEST(ProcessState, HistogramQuantilesBoundTheSamples) {
  LatencyHistogram histogram;
  for (int n = 1; n <= 1000; ++n)
    histogram.record(milliseconds(n));
  CHECK(histogram.quantile(0.5) >= milliseconds(500));
  CHECK(histogram.quantile(0.5) <= milliseconds(600));
  CHECK(histogram.quantile(0.99) >= milliseconds(990));
}

TEST(ProcessState, LatencyBeyondTheLastBinIsInOneBucketOnly) {
  Metrics metrics;
  metrics.latency("call_seconds").record(std::chrono::hours(1));
  const std::string text = metrics.print();
  CHECK(text.find("le=\"inf\"") == std::string::npos);
  CHECK(text.find("le=\"+Inf\"} 1\n") != std::string::npos);
}

TEST(ProcessState, LatencyWindowForgetsOldSamples) {
  LatencyWindow window;
  CHECK_FALSE(window.p95().has_value());
  for (int n = 0; n < 1000; ++n)
    window.record(milliseconds(100));
  for (std::size_t n = 0; n < LatencyWindow::Size; ++n)
    window.record(milliseconds(1));
  CHECK(window.p95() == milliseconds(1));
}

// Guards against a node that serves by a version long after it has heard of a
// newer one, whichever of several it gets first.
TEST(ProcessState, VersionIsOutdatedFromTheFirstNewerOneThatWasHeardOf) {
  const TimePoint start{std::chrono::hours(1)};
  const Address peer{"127.0.0.1", 1};
  HeardVersions heard;
  heard.onInForce(5);
  CHECK_FALSE(heard.onHeard(4, peer, start));
  CHECK_FALSE(heard.isOutdated(start + HeardVersions::MaxLag));
  CHECK(heard.onHeard(6, peer, start));
  CHECK(heard.onHeard(8, peer, start + HeardVersions::MaxLag / 2));
  CHECK_FALSE(heard.isOutdated(start));
  CHECK(heard.isOutdated(start + HeardVersions::MaxLag));
  heard.onInForce(6);
  CHECK_FALSE(heard.isOutdated(start + HeardVersions::MaxLag));
  CHECK(heard.isOutdated(start + HeardVersions::MaxLag * 2));
  CHECK_EQUAL(8, heard.newest());
}

// Guards against a node that goes back to its own version after it has run a
// call by a newer one.
TEST(ProcessState, VersionIsOutdatedOnceANewerOneWasUsed) {
  const TimePoint start{std::chrono::hours(1)};
  HeardVersions heard;
  heard.onInForce(5);
  heard.onHeard(6, {"127.0.0.1", 1}, start);
  heard.onUsed(6);
  CHECK(heard.isOutdated(start));
  heard.onInForce(6);
  CHECK_FALSE(heard.isOutdated(start));
}

// Guards against a node that rejects calls for good because of a version that
// was never accepted.
TEST(ProcessState, ConfirmationEndsTheDoubtOfWhatWasHeardBefore) {
  const TimePoint start{std::chrono::hours(1)};
  const TimePoint late = start + HeardVersions::MaxLag * 2;
  HeardVersions heard;
  heard.onInForce(5);
  heard.onHeard(6, {"127.0.0.1", 1}, start);
  heard.onConfirmed(start - std::chrono::milliseconds(1));
  CHECK(heard.isOutdated(late));
  heard.onConfirmed(start);
  CHECK_FALSE(heard.isOutdated(late));
}
