/** \file
 * Requests that are sent behind others on a connection, at a server in this
 * process. */
#include "connection/HttpServer.h"
#include "operator/MainLoop.h"
#include "support/Fleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <numeric>

using namespace plantainhatch;
using namespace plantainhatch::test;
using std::chrono::milliseconds;

namespace {

using Names = std::vector<std::string>;

std::string get(const std::string &name) {
  return "GET /" + name + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

/** Names with a leading u stand for unsafe requests. */
std::string getAll(const Names &names) {
  return std::accumulate(
      names.begin(), names.end(), std::string(),
      [](const auto &sum, const auto &it) { return sum + get(it); });
}

} // namespace

TEST_GROUP(SentBehind) {
  std::vector<IncomingCallPtr> calls;
  Names begun;
  Names gone;
  std::size_t answerBytes = 0;
  Address address;
  std::unique_ptr<HttpServer> server;
  StreamSocket caller;
  std::string got;
  bool hasEnded = false;

  void setup() override {
    address = freeAddress();
    server = std::move(HttpServer::listen(
                           address, "server",
                           [this](const IncomingCallPtr &it) { serve(it); },
                           [](const CallRequest &request) {
                             return request.target[1] != 'u';
                           }))
                 .value();
    caller = std::move(*StreamSocket::connect(address));
    pause(milliseconds(20));
  }

  void serve(const IncomingCallPtr &call) {
    const std::string name = call->request().target.substr(1);
    begun.push_back(name);
    if (answerBytes > 0) {
      call->reply(200, {}, std::string(answerBytes, 'x'));
      return;
    }
    call->onGone([this, name] { gone.push_back(name); });
    calls.push_back(call);
  }

  void send(const std::string &bytes) {
    CHECK(caller.write(bytes));
    pause(milliseconds(20));
  }
  void answer(std::size_t n) { calls[n]->reply(200, {}, "<" + begun[n] + ">"); }
  /** The answers that have come, and all that came besides. */
  const std::string &read() {
    pause(milliseconds(20));
    auto result = StreamSocket::ReadResult::Bytes;
    while (result == StreamSocket::ReadResult::Bytes)
      result = caller.read(got, 65'536);
    hasEnded = result != StreamSocket::ReadResult::Nothing;
    return got;
  }
  /** The bodies that have come. */
  std::string bodies() {
    std::string all;
    read();
    for (std::size_t at = got.find('<'); at != std::string::npos;
         at = got.find('<', at + 1))
      all += got.substr(at + 1, got.find('>', at) - at - 1) + " ";
    return all;
  }
  std::size_t closeCount() const {
    std::size_t count = 0;
    for (auto at = got.find("Connection: close"); at != std::string::npos;
         at = got.find("Connection: close", at + 1))
      ++count;
    return count;
  }
};

TEST(SentBehind, SafeOnesRunAtOnceAndAreAnsweredInOrder) {
  send(getAll({"a", "b", "c", "d"}));
  CHECK(begun == Names({"a", "b", "c", "d"}));
  answer(3);
  answer(1);
  STRCMP_EQUAL("", bodies().c_str());
  answer(0);
  STRCMP_EQUAL("a b ", bodies().c_str());
  answer(2);
  STRCMP_EQUAL("a b c d ", bodies().c_str());
  CHECK_FALSE(hasEnded);
}

TEST(SentBehind, UnsafeOneRunsAloneAndInItsTurn) {
  send(getAll({"a", "b", "u1", "u2", "c", "d"}));
  CHECK(begun == Names({"a", "b"}));
  answer(1);
  CHECK(begun == Names({"a", "b"}));
  answer(0);
  CHECK(begun == Names({"a", "b", "u1"}));
  answer(2);
  CHECK(begun == Names({"a", "b", "u1", "u2"}));
  answer(3);
  CHECK(begun == Names({"a", "b", "u1", "u2", "c", "d"}));
  answer(5);
  answer(4);
  STRCMP_EQUAL("a b u1 u2 c d ", bodies().c_str());
}

// Guards against a time that is counted from when a request is begun or taken
// in.
TEST(SentBehind, TimeOfARequestIsThatOfItsBytes) {
  constexpr std::size_t Requests = 2 * ServerConnection::MaxRequests;
  send(getAll(Names(Requests, "u")));
  const TimePoint sent = std::chrono::steady_clock::now();
  pause(milliseconds(50));
  for (std::size_t n = 0; n < Requests; ++n)
    answer(n);
  CHECK_EQUAL(Requests, begun.size());
  CHECK(std::ranges::all_of(
      calls, [&](const auto &it) { return it->readAt() <= sent; }));
}

// Guards against a request that waits and has its time back when others come.
TEST(SentBehind, TimeOfAWaitingRequestStaysWhenMoreIsRead) {
  constexpr std::size_t Requests = ServerConnection::MaxRequests + 2;
  send(getAll(Names(Requests - 1, "u")));
  const TimePoint sent = std::chrono::steady_clock::now();
  pause(milliseconds(100));
  const TimePoint sentLater = std::chrono::steady_clock::now();
  send(get("u"));
  for (std::size_t n = 0; n < Requests; ++n)
    answer(n);
  CHECK_EQUAL(Requests, begun.size());
  CHECK(calls[Requests - 2]->readAt() <= sent);
  CHECK(calls[Requests - 1]->readAt() >= sentLater);
}

TEST(SentBehind, CallerThatLeavesEndsEachThatRunsOnce) {
  send(getAll({"a", "b", "c", "u", "d"}));
  answer(1);
  caller.close();
  pause(milliseconds(20));
  CHECK(gone == Names({"a", "c"}));
  CHECK(begun == Names({"a", "b", "c"}));
  answer(0);
  CHECK(gone == Names({"a", "c"}));
}

TEST(SentBehind, AnswerThatClosesEndsThoseBehindIt) {
  send(getAll({"a", "b", "c", "d"}));
  answer(3);
  calls[1]->closeAfterAnswer();
  send(get("e"));
  answer(1);
  CHECK(gone == Names({"c"}));
  answer(2);
  answer(0);
  STRCMP_EQUAL("a b ", bodies().c_str());
  CHECK_EQUAL(1, closeCount());
  CHECK(hasEnded);
  CHECK_EQUAL(4, begun.size());
}

// Guards against a call that is given up while another one's action answers it.
TEST(SentBehind, CallThatIsAnsweredWhileThoseBehindAnotherEndIsGone) {
  send(getAll({"a", "b", "c"}));
  calls[1]->onGone([this] { answer(2); });
  calls[0]->closeAfterAnswer();
  answer(0);
  CHECK(gone.empty());
  STRCMP_EQUAL("a ", bodies().c_str());
  CHECK(hasEnded);
}

TEST(SentBehind, RequestThatClosesIsTheLast) {
  send(get("a") + "GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" +
       get("c"));
  CHECK(begun == Names({"a", "b"}));
  answer(1);
  answer(0);
  STRCMP_EQUAL("a b ", bodies().c_str());
  CHECK_EQUAL(1, closeCount());
  CHECK(hasEnded);
}

TEST(SentBehind, ServerThatEndsFinishesWhatWasBegunInOrder) {
  send(getAll({"a", "b", "u", "c"}));
  server.reset();
  answer(1);
  answer(0);
  STRCMP_EQUAL("a b ", bodies().c_str());
  CHECK_EQUAL(1, closeCount());
  CHECK(hasEnded);
  CHECK_EQUAL(2, begun.size());
  CHECK(gone.empty());
}

TEST(SentBehind, RefusedRequestIsRefusedInItsTurn) {
  send(get("a") + "POST /b HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n");
  answerBytes = 1;
  send(get("c"));
  STRCMP_EQUAL("", read().c_str());
  answer(0);
  STRCMP_EQUAL("a ", bodies().c_str());
  CHECK(got.find("HTTP/1.1 413 ") > got.find("<a>"));
  CHECK(got.find("HTTP/1.1 413 ") != std::string::npos);
  CHECK(hasEnded);
  CHECK_EQUAL(1, begun.size());
}

// Guards against a time for its bytes that a client uses to wait for an answer.
TEST(SentBehind, PartOfARequestBehindOneThatRunsIsNotTimed) {
  send(get("u") + "GET /b HT");
  pause(ServerConnection::MaxHeadTime + milliseconds(500));
  answer(0);
  STRCMP_EQUAL("u ", bodies().c_str());
  CHECK_FALSE(hasEnded);
  send("TP/1.1\r\nHost: h\r\n\r\n");
  CHECK(begun == Names({"u", "b"}));
}

// Guards against an interim answer amid the answer to another request.
TEST(SentBehind, RequestIsAskedToContinueWhenAllBeforeAreAnswered) {
  send(get("a") + "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                  "Content-Length: 4\r\n\r\n");
  STRCMP_EQUAL("", read().c_str());
  answer(0);
  CHECK(read().ends_with("<a>HTTP/1.1 100 Continue\r\n\r\n"));
  send("body");
  CHECK(begun == Names({"a", "b"}));
  STRCMP_EQUAL("body", calls[1]->request().body.c_str());
}

// Guards against a source that is kept busy by an answer of a few chunks.
TEST(SentBehind, ShortStreamedAnswerIsReadWholeWhileItWaits) {
  send(getAll({"a", "b"}));
  unsigned written = 0;
  const GBytesPtr chunk(g_bytes_new("<b1>", 4));
  calls[1]->startStream({200, {}, std::nullopt});
  for (unsigned n = 0; n < 2; ++n)
    calls[1]->writeChunk(chunk.get(), [&] { ++written; });
  CHECK_EQUAL(2, written);
  calls[1]->endStream();
  STRCMP_EQUAL("", read().c_str());
  answer(0);
  STRCMP_EQUAL("a b1 b1 ", bodies().c_str());
  CHECK_EQUAL(2, written);
}

// Guards against a streamed answer that is read whole while it waits for its
// turn, whatever its size, and one that mixes with others.
TEST(SentBehind, LongStreamedAnswerWaitsWithOneChunkAboveTheBound) {
  send(getAll({"a", "b"}));
  unsigned written = 0;
  const std::string large =
      "<b1>" + std::string(ServerConnection::MaxHeldStreamBytes, 'x');
  const GBytesPtr chunk(g_bytes_new(large.data(), large.size()));
  calls[1]->startStream({200, {}, std::nullopt});
  calls[1]->writeChunk(chunk.get(), [&] { ++written; });
  STRCMP_EQUAL("", read().c_str());
  CHECK_EQUAL(0, written);
  answer(0);
  CHECK_EQUAL(1, written);
  calls[1]->writeChunk(chunk.get(), [&] { ++written; });
  CHECK_EQUAL(2, written);
  calls[1]->endStream();
  STRCMP_EQUAL("a b1 b1 ", bodies().c_str());
  CHECK(got.ends_with("\r\n0\r\n\r\n"));
}

// Guards against requests that run and whose answers are lost with one that
// breaks off before them.
TEST(SentBehind, NoneIsBegunBehindAnAnswerThatIsStreamed) {
  send(get("a"));
  const GBytesPtr chunk(g_bytes_new("<a1>", 4));
  calls[0]->startStream({200, {}, std::nullopt});
  calls[0]->writeChunk(chunk.get(), nullptr);
  send(getAll({"b", "c"}));
  CHECK(begun == Names({"a"}));
  calls[0]->endStream();
  CHECK(begun == Names({"a", "b", "c"}));
}

// Guards against whole answers that are lost with one behind them.
TEST(SentBehind, AnswerThatBreaksOffLeavesThoseBeforeItWhole) {
  send(getAll({"a", "b", "c"}));
  const GBytesPtr chunk(g_bytes_new("<b1>", 4));
  calls[1]->startStream({200, {}, 100});
  calls[1]->writeChunk(chunk.get(), nullptr);
  calls[1]->abort();
  CHECK(gone == Names({"c"}));
  answer(2);
  answer(0);
  STRCMP_EQUAL("a b1 ", bodies().c_str());
  CHECK(hasEnded);
}

TEST(SentBehind, CallsThatAreDroppedEndTheConnectionOnce) {
  send(getAll({"a", "b", "u"}));
  calls.clear();
  read();
  CHECK(hasEnded);
  CHECK_EQUAL(2, begun.size());
}

// Guards against a bound of each connection that many connections exceed.
TEST(SentBehind, RunningBesideOthersIsBoundedOverAllConnections) {
  constexpr std::size_t Max = ServerConnection::MaxRequests;
  constexpr std::size_t Callers = 80;
  std::vector<StreamSocket> callers;
  callers.reserve(Callers);
  for (std::size_t n = 0; n < Callers; ++n)
    callers.push_back(std::move(*StreamSocket::connect(address)));
  pause(milliseconds(50));
  for (StreamSocket &it : callers)
    CHECK(it.write(getAll(Names(Max, "a"))));
  pause(milliseconds(200));
  CHECK_EQUAL(Callers + ServerConnection::MaxBesideOthers, begun.size());
  // Those that are begun meanwhile are appended.
  for (std::size_t n = 0; n < calls.size(); ++n)
    answer(n);
  CHECK_EQUAL(Callers * Max, begun.size());
  callers.clear();
  calls.clear();
  pause(milliseconds(50));
  CHECK_EQUAL(0, BesideMark::all());
}

TEST(SentBehind, ThousandsThatAreNotReadHoldNoMoreThanTheBound) {
  constexpr std::size_t Requests = 2'000;
  constexpr std::size_t AnswerBytes = 64UL * 1024;
  constexpr std::size_t Bound = 2UL * 1024 * 1024;
  send(get("slow"));
  answerBytes = AnswerBytes;
  std::string all;
  for (std::size_t n = 0; n < Requests; ++n)
    all += get("r");
  caller.write(all);
  for (unsigned n = 0; n < 10; ++n) {
    caller.flush();
    pause(milliseconds(10));
  }
  CHECK(begun.size() <= ServerConnection::MaxRequests);
  CHECK(BufferBudget::instance().usedBytes() < Bound);
  answer(0);
  for (unsigned n = 0; n < 50; ++n) {
    caller.flush();
    pause(milliseconds(10));
    CHECK(BufferBudget::instance().usedBytes() < Bound);
  }
  CHECK(begun.size() < Requests);
  // All are answered when they are read.
  std::size_t count = 0;
  CHECK(Fleet::waitUntil([&] {
    caller.flush();
    got.clear();
    read();
    count += got.size();
    return count >= Requests * AnswerBytes;
  }));
  CHECK_EQUAL(Requests + 1, begun.size());
}
