/** \file
 * What is written about decisions, and how a request's way is read from it. */
#include "process/DecisionLog.h"
#include "operator/explainRequest.h"

#include <nlohmann/json.hpp>

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));
const WallTime Wall{milliseconds(1'700'000'000'000)};

std::vector<json> parse(const std::string &text) {
  std::vector<json> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);)
    lines.push_back(json::parse(line));
  return lines;
}

} // namespace

TEST_GROUP(DecisionLog) {
  DecisionLog log{"10.0.0.1:1"};

  std::vector<json> takeAll(TimePoint now) {
    return parse(log.take(DecisionLog::MaxBytes * 2, Wall, now));
  }
};

TEST(DecisionLog, EachLineIsAnObjectWithTimeNodeAndKind) {
  log.add(DecisionKind::Refused, {{"request", "r"}}, Wall, Start);
  const auto lines = takeAll(Start);
  CHECK_EQUAL(1, lines.size());
  STRCMP_EQUAL("refused", lines[0].at("kind").get<std::string>().c_str());
  STRCMP_EQUAL("10.0.0.1:1", lines[0].at("node").get<std::string>().c_str());
  CHECK(lines[0].at("t") == 1'700'000'000'000);
}

TEST(DecisionLog, FloodOfServedCallsLeavesRoomForFailedOnesAndIsCounted) {
  for (unsigned n = 0; n < 1'000; ++n)
    log.add(DecisionKind::Served, {{"request", n}}, Wall, Start);
  log.add(DecisionKind::Failed, {{"request", "f"}}, Wall, Start);
  const auto lines = takeAll(Start + seconds(2));
  const auto served = std::ranges::count_if(
      lines, [](const json &it) { return it.at("kind") == "served"; });
  CHECK(served < 100);
  CHECK(std::ranges::any_of(
      lines, [](const json &it) { return it.at("kind") == "failed"; }));
  const auto omitted = std::ranges::find_if(lines, [](const json &it) {
    return it.value("event", "") == "lines-left-out";
  });
  CHECK(omitted != lines.end());
  CHECK(omitted->at("count") == 1'000 - served);
}

TEST(DecisionLog, MemoryIsBoundedWhenNobodyReads) {
  const std::string large(2'000, 'x');
  for (unsigned n = 0; n < 4'000; ++n)
    log.add(DecisionKind::Refused, {{"text", large}}, Wall,
            Start + milliseconds(100) * n);
  CHECK(log.take(10 * DecisionLog::MaxBytes, Wall, Start).size() <
        DecisionLog::MaxBytes + 10'000);
}

TEST(DecisionLog, WritesHoldWholeLinesOnly) {
  for (unsigned n = 0; n < 10; ++n)
    log.add(DecisionKind::Failed, {{"request", n}}, Wall, Start);
  const std::string part = log.take(200, Wall, Start);
  CHECK(part.size() <= 200);
  CHECK(part.ends_with('\n'));
  CHECK_EQUAL(10, parse(part).size() + takeAll(Start).size());
}

TEST_GROUP(Explain){};

TEST(Explain, LinesOfManyNodesComeInTheirOrderWithWhatWasBelieved) {
  std::istringstream ingress(
      R"({"t":1005,"node":"a","kind":"failed","request":"r","status":502})"
      "\n"
      R"({"t":1001,"node":"a","kind":"attempt","request":"r","target":"b"})"
      "\nnot a line of ours\n"
      R"({"t":1002,"node":"a","kind":"attempt","request":"other"})");
  std::istringstream gate(
      R"(  0.5 side-1 {"t":500,"node":"a","kind":"belief","event":"store-down"})"
      "\n"
      R"({"t":900,"node":"c","kind":"belief","event":"elsewhere"})");
  const auto result = explainRequest("r", {&ingress, &gate});
  CHECK(result.code == ExitCode::Done);
  const auto belief = result.output.find("store-down");
  const auto attempt = result.output.find("attempt");
  const auto end = result.output.find("failed");
  CHECK(belief < attempt);
  CHECK(attempt < end);
  CHECK(result.output.find("elsewhere") == std::string::npos);
  CHECK(result.output.find("other") == std::string::npos);
}

TEST(Explain, RequestThatNoLineNamesIsSaidToBeMissing) {
  std::istringstream log("{}\n");
  CHECK(explainRequest("r", {&log}).code == ExitCode::Refused);
}

// Guards against a command that ends, as a log holds lines of another writer.
TEST(Explain, FieldsOfOtherTypesAndBytesEndNothing) {
  std::istringstream log(
      R"({"t":1,"node":3,"kind":[],"request":{}})"
      "\n"
      R"({"t":99999999999999999999,"node":"a","request":"r"})"
      "\n{\"t\":2,\"node\":\"\xff\",\"request\":\"r\"}\n"
      R"({"t":3,"node":null,"kind":7,"request":"r","why":"\ud800"})"
      "\n"
      R"({"t":4,"node":false,"kind":"failed","request":"r"})");
  const auto result = explainRequest("r", {&log});
  CHECK(result.code == ExitCode::Done);
  CHECK(result.output.find("failed") != std::string::npos);
}
