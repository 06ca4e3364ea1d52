/** \file
 * A call that was given up still counts at its target until that lets go of it.
 */
#include "connection/GObjectPtr.h"
#include "connection/LingeringClose.h"
#include "operator/MainLoop.h"
#include "support/BackgroundCallers.h"
#include "support/FaultFixture.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using std::chrono::milliseconds;

namespace {

/** A connection whose one end is given up. */
struct GivenUpConnection {
  int peer = -1;
  bool isOver = false;

  GivenUpConnection() {
    std::array<int, 2> ends{};
    CHECK_EQUAL(
        0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()));
    peer = ends[0];
    LingeringClose::start(ends[1], [this] { isOver = true; });
  }
  ~GivenUpConnection() { closePeer(); }
  GivenUpConnection(const GivenUpConnection &) = delete;
  GivenUpConnection &operator=(const GivenUpConnection &) = delete;
  GivenUpConnection(GivenUpConnection &&) = delete;
  GivenUpConnection &operator=(GivenUpConnection &&) = delete;

  void closePeer() {
    if (peer >= 0)
      close(std::exchange(peer, -1));
  }

  /** Lets all that is ready happen. */
  static void settle() {
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
    }
  }
};

} // namespace

TEST_GROUP(GivenUpCalls){};

TEST(GivenUpCalls, ThawedTargetHasNoMoreThanItsSlotsToRun) {
  constexpr unsigned Slots = 6;
  Fleet fleet(makeStatusPlan(1, 1, Slots, milliseconds(5)));
  CHECK(fleet.start());
  const auto vm = fleet.vmOf("status");
  const auto runs = [&] {
    return fleet.targetStats(vm).at("runs").get<unsigned>();
  };
  const unsigned before = runs();
  fleet.vms[vm]->targetProcess->signal(SIGSTOP);
  // Each is given up by its caller long before the target runs again.
  for (unsigned n = 0; n < 5 * Slots; ++n)
    fleet.http.send(fleet.vms[vm]->callers, "GET", "/status/1", {}, "",
                    milliseconds(60));
  fleet.vms[vm]->targetProcess->signal(SIGCONT);
  CHECK(Fleet::waitUntil(
      [&] { return fleet.status(vm).at("gate").at("inFlight") == 0; }));
  CHECK(Fleet::waitUntil(
      [&] { return fleet.targetStats(vm).at("running") == 0; }));
  CHECK(runs() > before);
  CHECK(runs() - before <= Slots);
  CHECK_EQUAL(0, fleet.targetStats(vm).at("overruns").get<int>());
}

TEST(GivenUpCalls, PeerSeesTheEndAndTheCallIsOverWhenItCloses) {
  GivenUpConnection connection;
  GivenUpConnection::settle();
  char c = 0;
  CHECK_EQUAL(0, read(connection.peer, &c, 1));
  CHECK_FALSE(connection.isOver);
  connection.closePeer();
  GivenUpConnection::settle();
  CHECK(connection.isOver);
}

TEST(GivenUpCalls, PeerThatPaysNoHeedIsHeldUntilItHasAnswered) {
  GivenUpConnection connection;
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  CHECK(write(connection.peer, answer.data(), answer.size()) > 0);
  GivenUpConnection::settle();
  CHECK_FALSE(connection.isOver);
  connection.closePeer();
  GivenUpConnection::settle();
  CHECK(connection.isOver);
}

TEST(GivenUpCalls, PeerThatSendsOnIsCut) {
  GivenUpConnection connection;
  const std::string part(16UL * 1024, 'x');
  std::size_t sent = 0;
  CHECK(Fleet::waitUntil([&] {
    GivenUpConnection::settle();
    const auto n =
        send(connection.peer, part.data(), part.size(), MSG_NOSIGNAL);
    if (n > 0)
      sent += static_cast<std::size_t>(n);
    return n < 0 && errno == EPIPE;
  }));
  CHECK(connection.isOver);
  CHECK(sent > LingeringClose::MaxDiscarded);
}
