/** \file
 * Claims under lost answers, races, and a store that is down. */
#include "request/ClaimDecision.h"

#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;

namespace {

const WallTime Now(std::chrono::seconds(1'000));

ClaimRecord makeRow(const std::string &claimId, ClaimState state) {
  ClaimRecord row;
  row.claimId = claimId;
  row.requestDigest = "digest";
  row.state = state;
  row.deadlineMs = (Now + std::chrono::seconds(5)).time_since_epoch().count();
  row.answer = {200, {{"A", "b"}}, "body", true};
  return row;
}

template <typename T> bool is(const ClaimAction &action) {
  return std::holds_alternative<T>(action);
}

bool isAnswer(const ClaimAction &action, unsigned status, Outcome outcome) {
  const auto *const answer = std::get_if<AnswerAction>(&action);
  return answer != nullptr && answer->status == status &&
         answer->outcome == outcome;
}

} // namespace

TEST_GROUP(ClaimDecision) { ClaimDecision claim{"mine", "digest"}; };

TEST(ClaimDecision, InsertedClaimProceeds) {
  CHECK(is<InsertClaimAction>(claim.start()));
  CHECK(is<ProceedAction>(claim.onInserted(StoreResult::Ok, "1")));
  CHECK_FALSE(claim.mayHaveOrphanedRow());
}

TEST(ClaimDecision, LostAnswerIsFoundOutByReading) {
  claim.start();
  CHECK(is<ReadClaimAction>(claim.onInserted(StoreResult::Unknown, "")));
  CHECK(is<ProceedAction>(claim.onRead(
      StoreResult::Ok, makeRow("mine", ClaimState::Running), "1", Now)));
}

TEST(ClaimDecision, LostRequestIsSentAgainABoundedNumberOfTimes) {
  ClaimAction action = claim.start();
  unsigned inserts = 0;
  while (is<InsertClaimAction>(action)) {
    ++inserts;
    claim.onInserted(StoreResult::Unknown, "");
    action = claim.onRead(StoreResult::Absent, std::nullopt, "", Now);
  }
  CHECK_EQUAL(ClaimDecision::MaxInserts, inserts);
  CHECK(isAnswer(action, 503, Outcome::Unknown));
  CHECK(claim.mayHaveOrphanedRow());
}

TEST(ClaimDecision, StoreThatIsDownNeverLetsACallProceed) {
  claim.start();
  claim.onInserted(StoreResult::Unknown, "");
  CHECK(isAnswer(claim.onRead(StoreResult::Unknown, std::nullopt, "", Now), 503,
                 Outcome::Unknown));
  CHECK(claim.mayHaveOrphanedRow());
}

TEST(ClaimDecision, ResendMeetsTheClaimOfTheFirst) {
  struct Case {
    ClaimState state;
    unsigned status;
  };
  for (const Case &it :
       {Case{ClaimState::Running, 409}, Case{ClaimState::Unknown, 502}}) {
    ClaimDecision resend("other", "digest");
    resend.start();
    resend.onInserted(StoreResult::Conflict, "");
    CHECK(isAnswer(
        resend.onRead(StoreResult::Ok, makeRow("first", it.state), "1", Now),
        it.status, Outcome::Unknown));
    CHECK_FALSE(resend.mayHaveOrphanedRow());
  }
}

TEST(ClaimDecision, ResendGetsTheStoredAnswer) {
  claim.start();
  claim.onInserted(StoreResult::Conflict, "");
  const auto action = claim.onRead(
      StoreResult::Ok, makeRow("first", ClaimState::Done), "1", Now);
  STRCMP_EQUAL("body", std::get<ReplayAction>(action).answer.body.c_str());
}

TEST(ClaimDecision, RunningClaimPastItsDeadlineIsUnknownAndNeverTakenOver) {
  ClaimRecord row = makeRow("first", ClaimState::Running);
  row.deadlineMs = 1;
  claim.start();
  claim.onInserted(StoreResult::Conflict, "");
  CHECK(isAnswer(claim.onRead(StoreResult::Ok, row, "1", Now), 502,
                 Outcome::Unknown));
}

TEST(ClaimDecision, KeyOfAnotherRequestIsRefused) {
  ClaimRecord row = makeRow("first", ClaimState::Done);
  row.requestDigest = "another";
  claim.start();
  claim.onInserted(StoreResult::Conflict, "");
  CHECK(isAnswer(claim.onRead(StoreResult::Ok, row, "1", Now), 422,
                 Outcome::NotRun));
}

TEST(ClaimDecision, RecordSurvivesItsJson) {
  ClaimRecord row = makeRow("id", ClaimState::Done);
  row.answer.body = std::string("\0\xff\n", 3);
  const auto read = ClaimRecord::fromJson(row.toJson()).value();
  CHECK(read.answer.body == row.answer.body);
  CHECK(read.answer.headers == row.answer.headers);
  CHECK_FALSE(ClaimRecord::fromJson("{}").has_value());
  CHECK_FALSE(ClaimRecord::fromJson("not json").has_value());
}

// Several sendings of one key against a table whose answers get lost and whose
// writes take effect late: at most one ever proceeds.
TEST(ClaimDecision, AtMostOneSendingProceedsWhateverTheStoreLoses) {
  std::mt19937_64 random(11);
  for (int round = 0; round < 3000; ++round) {
    std::optional<ClaimRecord> stored;
    std::vector<std::string> delayed;
    unsigned proceeded = 0;
    const auto land = [&](const std::string &id) {
      if (!stored)
        stored = makeRow(id, ClaimState::Running);
    };
    for (int sending = 0; sending < 4; ++sending) {
      const std::string id = "sending-" + std::to_string(sending);
      ClaimDecision decision(id, "digest");
      ClaimAction action = decision.start();
      while (is<InsertClaimAction>(action) || is<ReadClaimAction>(action)) {
        if (!delayed.empty() && random() % 3 == 0) {
          land(delayed.back());
          delayed.pop_back();
        }
        const auto fate = random() % 4;
        if (is<ReadClaimAction>(action)) {
          const StoreResult result = fate == 0 ? StoreResult::Unknown
                                     : stored  ? StoreResult::Ok
                                               : StoreResult::Absent;
          action = decision.onRead(
              result, result == StoreResult::Ok ? stored : std::nullopt, "1",
              Now);
          continue;
        }
        if (fate == 0) { // Lost on its way, and may arrive later.
          delayed.push_back(id);
          action = decision.onInserted(StoreResult::Unknown, "");
        } else if (fate == 1) { // Took effect, and the answer was lost.
          land(id);
          action = decision.onInserted(StoreResult::Unknown, "");
        } else {
          const bool isFree = !stored;
          land(id);
          action = decision.onInserted(
              isFree ? StoreResult::Ok : StoreResult::Conflict, "1");
        }
      }
      if (is<ProceedAction>(action))
        ++proceeded;
    }
    CHECK(proceeded <= 1);
  }
}
