/** \file
 * Requests that are sent behind others on a connection to a real node. */
#include "operator/MainLoop.h"
#include "platform/SiteFixture.h"
#include "support/ProcessUsage.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>

using namespace plantainhatch;
using namespace plantainhatch::test;
using Manner = SiteTarget::Manner;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char *Safe = "GET /read/x";
constexpr const char *Unsafe = "GET /write/x";

std::string one(const char *what, const std::string &id,
                milliseconds deadline) {
  return std::string(what) +
         " HTTP/1.1\r\nHost: h.example\r\n"
         "X-Plantainhatch-Request-Attempt-Id: " +
         id + "\r\nX-Plantainhatch-Deadline-Milliseconds: " +
         std::to_string(deadline.count()) + "\r\n\r\n";
}

std::size_t countOf(const std::string &text, const std::string &part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1))
    ++count;
  return count;
}

} // namespace

TEST_GROUP(SiteSentBehind) {
  SiteFixture site{{"zone-0", "zone-0", "zone-1"}};
  StreamSocket caller;
  std::string got;

  void setAll(Manner manner) {
    for (const auto &it : site.machines)
      it->target->setManner(manner);
  }
  unsigned runsOfAll() const {
    unsigned runs = 0;
    for (const auto &it : site.machines)
      runs += it->target->runCount();
    return runs;
  }
  void send(const std::string &bytes) {
    caller = std::move(*StreamSocket::connect(site.machines[0]->callers));
    pause(milliseconds(20));
    CHECK(caller.write(bytes));
  }
  /** Reads until \p count answers have begun. */
  bool readAnswers(std::size_t count, milliseconds limit) {
    return Fleet::waitUntil(
        [&] {
          caller.read(got, 65'536);
          return countOf(got, "HTTP/1.1 ") >= count;
        },
        limit);
  }
};

// Guards against safe requests each of which waits for the time limit of those
// before it.
TEST(SiteSentBehind, SafeOnesHaveTheirAnswersWithinTheirOwnTime) {
  CHECK(site.start());
  setAll(Manner::Hold);
  std::string all;
  for (unsigned n = 0; n < 6; ++n)
    all += one(Safe, "behind-" + std::to_string(n), milliseconds(600));
  send(all);
  CHECK(readAnswers(6, milliseconds(1'100)));
  CHECK_EQUAL(6, countOf(got, "HTTP/1.1 50"));
}

// Guards against an answer that waits for all work before it, one after the
// other.
TEST(SiteSentBehind, SafeOnesRunBesideASlowOneAndAreAnsweredInOrder) {
  constexpr unsigned Requests = 16;
  CHECK(site.start());
  for (const auto &it : site.machines)
    it->target->onRun([target = it->target.get()](const std::string &id) {
      target->setServiceTime(id == "own-7" ? milliseconds(2'400)
                                           : milliseconds(100));
    });
  std::string all;
  for (unsigned n = 0; n < Requests; ++n)
    all += one(Safe, "own-" + std::to_string(n), milliseconds(6'000));
  send(all);
  CHECK(readAnswers(7, milliseconds(1'000)));
  CHECK(Fleet::waitUntil([&] { return runsOfAll() >= Requests; },
                         milliseconds(500)));
  CHECK(readAnswers(Requests, milliseconds(2'900)));
  std::size_t last = 0;
  for (unsigned n = 0; n < Requests; ++n) {
    const auto at = got.find("whole own-" + std::to_string(n));
    CHECK(at != std::string::npos && at >= last);
    last = at;
  }
}

// Guards against a time limit that begins when the requests before are done.
TEST(SiteSentBehind, UnsafeOneWhoseTimeHasPassedIsRefusedAndNotRun) {
  CHECK(site.start());
  setAll(Manner::Hold);
  send(one(Unsafe, "first", milliseconds(700)) +
       one(Unsafe, "second", milliseconds(500)) +
       one(Unsafe, "third", milliseconds(600)));
  CHECK(readAnswers(3, milliseconds(1'100)));
  CHECK_EQUAL(1, site.runsOf("first"));
  CHECK_EQUAL(0, site.runsOf("second") + site.runsOf("third"));
  CHECK_EQUAL(2, countOf(got, "not-run"));
}

// Guards against a stop that cuts what runs at once, or begins what waits.
TEST(SiteSentBehind, PlannedStopFinishesWhatRunsAndBeginsNoUnsafeOne) {
  CHECK(site.start());
  setAll(Manner::Hold);
  std::string all;
  for (unsigned n = 0; n < 4; ++n)
    all += one(Safe, "stop-" + std::to_string(n), milliseconds(5'000));
  send(all + one(Unsafe, "waits", milliseconds(5'000)));
  CHECK(Fleet::waitUntil([&] { return runsOfAll() >= 4; }));
  site.machines[0]->node->signal(SIGTERM);
  pause(milliseconds(3'000));
  for (const auto &it : site.machines)
    it->target->release();
  CHECK(readAnswers(5, seconds(2)));
  CHECK_EQUAL(4, countOf(got, "whole stop-"));
  CHECK(got.ends_with("node-stopping\n"));
  CHECK_EQUAL(1, countOf(got, "Connection: close"));
  CHECK_EQUAL(0, site.machines[0]->node->wait());
  CHECK_EQUAL(0, site.runsOf("waits"));
}

TEST(SiteSentBehind, ThousandsThatAreNotReadLeaveTheMemoryInItsBound) {
  constexpr std::uint64_t MaxNodeKib = 32UL * 1024;
  constexpr unsigned Callers = 8;
  CHECK(site.start());
  std::string all;
  for (unsigned n = 0; n < 2'000; ++n)
    all += one(Safe, "many-" + std::to_string(n), milliseconds(1'000));
  std::vector<StreamSocket> callers;
  callers.reserve(Callers);
  for (unsigned n = 0; n < Callers; ++n)
    callers.push_back(
        std::move(*StreamSocket::connect(site.machines[0]->callers)));
  pause(milliseconds(20));
  for (StreamSocket &it : callers)
    it.write(all);
  for (unsigned n = 0; n < 100; ++n) {
    for (StreamSocket &it : callers)
      it.flush();
    pause(milliseconds(20));
  }
  CHECK(ProcessUsage(site.machines[0]->node->id()).peakResidentKib() <
        MaxNodeKib);
  callers.clear();
  CHECK(Fleet::waitUntil([&] {
    return site.call(1, "GET", "/read/x", "afterwards").status == 200;
  }));
}
