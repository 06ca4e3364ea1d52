/** \file
 * The watch for the end of a target's process while its address changes. */
#include "node/TargetConnectionWatcher.h"
#include "operator/MainLoop.h"
#include "support/Fleet.h"
#include "support/ScriptedServer.h"

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;

TEST_GROUP(TargetConnectionWatcher){};

// Guards against a connection to a former address that replaces the one to the
// current address, or is watched without end beside it.
TEST(TargetConnectionWatcher, OnlyTheLastOfTwoAddressesIsWatched) {
  const auto holdOpen = [](ScriptedServer::Connection &it) {
    while (it.readRequest())
      ;
  };
  const Address former = freeAddress();
  const Address current = freeAddress();
  const ScriptedServer formerServer(former, holdOpen);
  auto currentServer = std::make_unique<ScriptedServer>(current, holdOpen);
  unsigned closed = 0;
  TargetConnectionWatcher watcher([&] { ++closed; });
  watcher.watch(former);
  watcher.watch(current);
  CHECK(Fleet::waitUntil([&] {
    return formerServer.acceptedConnections() == 1 &&
           currentServer->openConnections() == 1;
  }));
  CHECK(Fleet::waitUntil([&] { return formerServer.openConnections() == 0; },
                         std::chrono::seconds(2)));
  CHECK_EQUAL(0, closed);
  currentServer.reset();
  CHECK(Fleet::waitUntil([&] { return closed == 1; }, std::chrono::seconds(2)));
}

// Guards against a late result for an address that is watched no more.
TEST(TargetConnectionWatcher, ConnectionToAnAddressThatCameBackIsWatchedOnce) {
  const auto holdOpen = [](ScriptedServer::Connection &it) {
    while (it.readRequest())
      ;
  };
  const Address address = freeAddress();
  const Address other = freeAddress();
  const ScriptedServer server(address, holdOpen);
  const ScriptedServer otherServer(other, holdOpen);
  TargetConnectionWatcher watcher([] {});
  watcher.watch(address);
  watcher.watch(other);
  watcher.watch(address);
  CHECK(Fleet::waitUntil([&] { return server.acceptedConnections() == 2; }));
  CHECK(Fleet::waitUntil(
      [&] {
        return server.openConnections() == 1 &&
               otherServer.openConnections() == 0;
      },
      std::chrono::seconds(2)));
}
