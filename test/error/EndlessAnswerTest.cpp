/** \file
 * Answers that come without end, until their reader closes. */
#include "connection/Exchange.h"
#include "connection/Timer.h"
#include "operator/MainLoop.h"
#include "platform/StoreClient.h"
#include "support/Fleet.h"
#include "support/ProcessUsage.h"
#include "support/ScriptedServer.h"

#include <CppUTest/TestHarness.h>

#include <unistd.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using std::chrono::milliseconds;

namespace {

/** Much more than one answer may take, and much less than comes. */
constexpr std::uint64_t MaxGrowthKib = 8UL * 1024;
constexpr std::size_t BlockBytes = 64UL * 1024;

struct EndlessCase {
  const char *name;
  std::string start;
  std::string repeated;
};

std::string repeat(const std::string &text) {
  std::string block;
  while (block.size() < BlockBytes)
    block += text;
  return block;
}

const std::string Head = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";

const EndlessCase Cases[] = {
    {"no answer at all", "", repeat("x")},
    {"blank lines", "", repeat("\r\n")},
    {"a status line", "HTTP/1.1 200 ", repeat("O")},
    {"header lines", Head, repeat("A: b\r\n")},
    {"one header", Head + "A: ", repeat("b")},
    {"interim answers", "", repeat("HTTP/1.1 100 Continue\r\n\r\n")},
    {"interim answers with a header", "",
     repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n")},
    {"a body without a length", Head + "\r\n", repeat("x")},
    {"chunks", Chunked, repeat("1\r\nx\r\n")},
    {"a chunk extension", Chunked + "1;", repeat("a")},
    {"a chunk size", Chunked, repeat("0")},
    {"trailers", Chunked + "0\r\n", repeat("A: b\r\n")},
    {"answers behind the first", "",
     repeat("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")},
};

/** Reads a body to its end and drops it. */
void discard(const boost::intrusive_ptr<Exchange> &exchange) {
  exchange->read([exchange](const Chunk &chunk) {
    if (std::holds_alternative<GBytesPtr>(chunk))
      discard(exchange);
  });
}

} // namespace

TEST_GROUP(EndlessAnswers){};

// Guards against a process that does nothing else, or grows without end, while
// it reads bytes that do not end.
TEST(EndlessAnswers, LeaveTheLoopFreeAndTheMemoryFlat) {
  for (const EndlessCase &it : Cases) {
    const Address address = freeAddress();
    const ScriptedServer server(address, it.start, it.repeated);
    HttpSession session;
    CallRequest request;
    request.method = "GET";
    request.target = "/";
    const auto exchange = std::make_shared<boost::intrusive_ptr<Exchange>>();
    const std::uint64_t before = ProcessUsage(getpid()).residentKib();
    const TimePoint begin = std::chrono::steady_clock::now();
    *exchange =
        Exchange::start(&session, request, {address, {}, false},
                        [exchange](const Exchange::Result &result) {
                          if (std::holds_alternative<AnswerHead>(result))
                            discard(*exchange);
                        });
    pause(milliseconds(300));
    CHECK_TEXT(std::chrono::steady_clock::now() - begin <
                   std::chrono::seconds(1),
               it.name);
    CHECK_TEXT(ProcessUsage(getpid()).residentKib() < before + MaxGrowthKib,
               it.name);
    (*exchange)->cancel();
    CHECK_TEXT(Fleet::waitUntil([&] { return server.openConnections() == 0; },
                                std::chrono::seconds(1)),
               it.name);
  }
}

// Guards against a process that gathers all that comes from the store until the
// request's time is over.
TEST(EndlessAnswers, OfTheStoreCountAsNone) {
  const Address address = freeAddress();
  const ScriptedServer server(address, Head + "\r\n", repeat("x"));
  StoreClient client("http://" + address.toString());
  const std::uint64_t before = ProcessUsage(getpid()).peakResidentKib();
  std::optional<ObjectResult> read;
  client.readObject("endless",
                    [&](ObjectResult result) { read = std::move(result); });
  CHECK(Fleet::waitUntil([&] { return read.has_value(); }));
  CHECK(read->result == StoreResult::Unknown);
  // An object of the largest size is gathered in a text that grows by doubling.
  constexpr std::uint64_t MaxGatheredKib = 64UL * 1024;
  CHECK(ProcessUsage(getpid()).peakResidentKib() < before + MaxGatheredKib);
}
