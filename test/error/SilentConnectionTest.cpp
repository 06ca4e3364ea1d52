/** \file
 * Kept connections that have fallen silent: nothing comes back, and no end of
 * the connection tells so. */
#include "connection/Exchange.h"
#include "operator/MainLoop.h"
#include "support/Fleet.h"
#include "support/ScriptedServer.h"

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;

namespace {

constexpr std::string_view Answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/** A request in progress, and whether it was answered. */
struct Request {
  boost::intrusive_ptr<Exchange> exchange;
  bool isAnswered = false;
};

} // namespace

TEST_GROUP(SilentConnections) {
  Address address = freeAddress();
  HttpSession session;

  std::shared_ptr<Request> send() {
    CallRequest request;
    request.method = "GET";
    request.target = "/";
    auto made = std::make_shared<Request>();
    made->exchange =
        Exchange::start(&session, request, {address, {}, false},
                        [made](const Exchange::Result &result) {
                          if (!std::holds_alternative<AnswerHead>(result))
                            return;
                          made->exchange->read([made](const Chunk &chunk) {
                            made->isAnswered =
                                std::holds_alternative<BodyEnd>(chunk);
                          });
                        });
    return made;
  }

  static bool waitFor(const std::shared_ptr<Request> &request) {
    return Fleet::waitUntil([&] { return request->isAnswered; },
                            std::chrono::seconds(2));
  }

  /** Keeps two connections that are idle. */
  bool keepTwo() {
    const auto first = send();
    const auto second = send();
    return waitFor(first) && waitFor(second);
  }
};

// Guards against calls that are lost one after the other, each on another kept
// connection to the same address.
TEST(SilentConnections, OtherKeptOnesAreNotUsedAfterTheFirstTimeOut) {
  const ScriptedServer server(address, [](ScriptedServer::Connection &it) {
    if (it.readRequest())
      it.write(Answer);
    while (it.readRequest())
      ;
  });
  CHECK(keepTwo());
  CHECK_EQUAL(2, server.acceptedConnections());
  const auto lost = send();
  pause(Exchange::SilenceLimit + std::chrono::milliseconds(50));
  CHECK_FALSE(lost->isAnswered);
  lost->exchange->cancel();
  CHECK(waitFor(send()));
  CHECK_EQUAL(3, server.acceptedConnections());
}

// Guards against a new connection for each call beside one that takes long.
TEST(SilentConnections, ConnectionThatHasAnsweredSinceIsKept) {
  std::atomic<unsigned> requests = 0;
  const ScriptedServer server(address, [&](ScriptedServer::Connection &it) {
    while (it.readRequest())
      if (++requests != 3)
        it.write(Answer);
  });
  CHECK(keepTwo());
  const auto slow = send();
  pause(Exchange::SilenceLimit + std::chrono::milliseconds(50));
  CHECK(waitFor(send()));
  slow->exchange->cancel();
  CHECK(waitFor(send()));
  CHECK_EQUAL(2, server.acceptedConnections());
}
