/** \file
 * Sockets that become ready in one turn and close one another. */
#include "connection/Reactor.h"
#include "connection/ListeningSocket.h"
#include "operator/MainLoop.h"
#include "support/Fleet.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <vector>

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

// Guards against a main loop that wakes without end for a connection that
// cannot be accepted, as no descriptor is left.
TEST(Reactor, ConnectionWithoutADescriptorLeftIsClosed) {
  constexpr rlim_t Descriptors = 128;
  const Address address = test::freeAddress();
  const auto listening =
      ListeningSocket::listen(address, "test", [](StreamSocket /*it*/) {});
  CHECK(listening.has_value());
  const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (client < 0) {
    FAIL("no socket can be made");
    return;
  }
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const rlimit low{Descriptors, before.rlim_max};
  setrlimit(RLIMIT_NOFILE, &low);
  std::vector<int> taken;
  for (int fd = eventfd(0, 0); fd >= 0; fd = eventfd(0, 0))
    taken.push_back(fd);
  sockaddr_in storage{};
  storage.sin_family = AF_INET;
  storage.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &storage.sin_addr);
  const int connected = connect(
      client, reinterpret_cast<const sockaddr *>(&storage), sizeof(storage));
  pause(std::chrono::milliseconds(50));
  char c = 0;
  const auto n = recv(client, &c, 1, MSG_DONTWAIT);
  const bool isClosed = n == 0 || (n < 0 && errno == ECONNRESET);
  for (const int fd : taken)
    close(fd);
  setrlimit(RLIMIT_NOFILE, &before);
  close(client);
  CHECK_EQUAL(0, connected);
  CHECK(isClosed);
}
