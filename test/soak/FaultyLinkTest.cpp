/** \file
 * The relay that disturbs connections does to them what its modes say. */
#include "support/FaultyLink.h"
#include "connection/HttpServer.h"
#include "operator/MainLoop.h"
#include "support/Fleet.h"

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using Mode = FaultyLink::Mode;
using std::chrono::milliseconds;

TEST_GROUP(FaultyLink) {
  Address serverAddress = freeAddress();
  Address linkAddress = freeAddress();
  unsigned served = 0;
  std::unique_ptr<HttpServer> server =
      std::move(HttpServer::listen(serverAddress, "server",
                                   [this](const IncomingCallPtr &call) {
                                     ++served;
                                     call->reply(200, {}, "answer");
                                   }))
          .value();
  std::unique_ptr<FaultyLink> link =
      FaultyLink::listen(linkAddress, serverAddress);
  std::optional<StreamSocket> socket;
  std::string received;

  void ask() {
    if (!socket)
      socket = StreamSocket::connect(linkAddress);
    CHECK(Fleet::waitUntil(
        [&] { return socket->connectError() == 0 && hasWritten(); }));
  }
  bool hasWritten() {
    return socket->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  StreamSocket::ReadResult readSome() { return socket->read(received, 65'536); }
  bool isAnswered() {
    readSome();
    return received.find("answer") != std::string::npos;
  }
};

TEST(FaultyLink, BytesPassBothWays) {
  ask();
  CHECK(Fleet::waitUntil([&] { return isAnswered(); }));
}

TEST(FaultyLink, HeldBytesArriveOnceTheyMayPass) {
  link->setMode(Mode::HoldForward);
  ask();
  pause(milliseconds(100));
  CHECK_EQUAL(0, served);
  link->setMode(Mode::HoldBack);
  CHECK(Fleet::waitUntil([&] { return served == 1; }));
  pause(milliseconds(100));
  CHECK_FALSE(isAnswered());
  link->setMode(Mode::Pass);
  CHECK(Fleet::waitUntil([&] { return isAnswered(); }));
}

TEST(FaultyLink, SilencedConnectionStaysSilentWhileNewOnesWork) {
  ask();
  CHECK(Fleet::waitUntil([&] { return isAnswered(); }));
  link->silenceOpen();
  received.clear();
  ask();
  pause(milliseconds(100));
  CHECK_FALSE(isAnswered());
  socket.reset();
  ask();
  CHECK(Fleet::waitUntil([&] { return isAnswered(); }));
  CHECK_EQUAL(2, served);
}

TEST(FaultyLink, ResetReachesTheClient) {
  ask();
  CHECK(Fleet::waitUntil([&] { return isAnswered(); }));
  link->resetOpen();
  CHECK(Fleet::waitUntil(
      [&] { return readSome() == StreamSocket::ReadResult::Broken; }));
}
