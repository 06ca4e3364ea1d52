/** \file
 * Sockets that become ready in one turn and close one another. */
#include "connection/Reactor.h"

#include <CppUTest/TestHarness.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

using namespace plantainhatch;

namespace {

/** One end of a connection, with its other end. */
class Connection final : public ReadyHandler {
public:
  /** What its first event does: this one is closed, and the other opened. */
  Connection *closes = nullptr;
  Connection *opens = nullptr;
  unsigned calls = 0;

  Connection() {
    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds.data());
  }
  ~Connection() {
    unwatch();
    close(fds[0]);
    close(fds[1]);
  }

  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  int fd() const { return fds[0]; }
  void watch() {
    Reactor::instance().add(fd(), EPOLLIN, *this);
    isWatched = true;
  }
  void unwatch() {
    if (isWatched)
      Reactor::instance().remove(fd());
    isWatched = false;
  }
  void makeReady() const { CHECK_EQUAL(1, write(fds[1], "x", 1)); }

  /** Takes over the number of \p other's socket, as a socket made right after
   * that one was closed does. */
  void replace(Connection &other) {
    other.unwatch();
    const int number = other.fds[0];
    other.fds[0] = dup(number);
    dup2(fds[0], number);
    close(fds[0]);
    fds[0] = number;
    watch();
  }

  void onReady(std::uint32_t /*events*/) override {
    ++calls;
    unwatch();
    if (opens != nullptr)
      opens->replace(*closes);
  }

private:
  std::array<int, 2> fds{-1, -1};
  bool isWatched = false;
};

} // namespace

TEST_GROUP(Reactor){};

TEST(Reactor, SocketThatReusesANumberGetsNoEventOfTheOldOne) {
  Connection first;
  Connection second;
  Connection later;
  first.closes = &second;
  first.opens = &later;
  second.closes = &first;
  second.opens = &later;
  first.watch();
  second.watch();
  first.makeReady();
  second.makeReady();
  while (first.calls + second.calls == 0)
    g_main_context_iteration(nullptr, TRUE);
  while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
  }
  CHECK_EQUAL(1U, first.calls + second.calls);
  CHECK_EQUAL(0U, later.calls);
  // Its own events do arrive.
  later.makeReady();
  while (later.calls == 0)
    g_main_context_iteration(nullptr, TRUE);
}
