/** \file
 * A server of raw bytes, for answers that no sound server gives. */
#ifndef PLANTAINHATCH_TEST_SUPPORT_SCRIPTEDSERVER_H
#define PLANTAINHATCH_TEST_SUPPORT_SCRIPTEDSERVER_H

#include "base/Address.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace plantainhatch::test {

/** Runs a script for each connection, on a thread of its own, so that it writes
 * even while the main loop is busy. */
class ScriptedServer {
public:
  /** Connections are closed after this time, so that a client that reads
   * without end is seen to be late and does not hang. */
  static constexpr std::chrono::seconds MaxLifetime{5};

  /** One connection, as a script sees it. */
  class Connection {
  public:
    Connection(ScriptedServer &server, int fd) : server(server), fd(fd) {}

    /** Waits for a request. \return its bytes up to the end of the head, or
     * nothing if there is none. */
    std::optional<std::string> readRequest();
    /** \return false if the client has closed, or the time is over. */
    bool write(std::string_view bytes);

  private:
    ScriptedServer &server;
    int fd;
    std::string input;
    std::chrono::steady_clock::time_point end =
        std::chrono::steady_clock::now() + MaxLifetime;
    bool isOver() const;
  };

  using Script = std::function<void(Connection &)>;

  /** \pre The address is on loopback and free. */
  ScriptedServer(const Address &address, Script script);
  /** Answers each request with \p start and then \p repeated without end. */
  ScriptedServer(const Address &address, std::string start,
                 std::string repeated);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;
  ScriptedServer(ScriptedServer &&) = delete;
  ScriptedServer &operator=(ScriptedServer &&) = delete;

  unsigned openConnections() const { return open; }
  unsigned acceptedConnections() const { return accepted; }

private:
  Script script;
  int listener;
  std::atomic<bool> isStopping = false;
  std::atomic<unsigned> open = 0;
  std::atomic<unsigned> accepted = 0;
  std::mutex mutex;
  std::vector<std::thread> threads;
  std::thread acceptor;

  void acceptAll();
};

} // namespace plantainhatch::test

#endif
