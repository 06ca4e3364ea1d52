/** \file
 * HTTP/1.1 over blocking sockets, for the stand-ins of a case. */
#ifndef PLANTAINHATCH_REVIEW_HTTP_H
#define PLANTAINHATCH_REVIEW_HTTP_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Milliseconds = std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

/** An address of the loopback range. */
struct Address {
  std::string host;
  std::uint16_t port = 0;

  std::string text() const { return host + ":" + std::to_string(port); }
};

/** An address at \p host whose port nobody uses at the moment. */
Address freeAddress(const std::string &host);

using Headers = std::vector<std::pair<std::string, std::string>>;

/** The value of a header; empty if there is none. */
std::string headerOf(const Headers &headers, const std::string &name);

struct Request {
  std::string method = "GET";
  std::string target = "/";
  Headers headers;
  std::string body;

  std::string path() const { return target.substr(0, target.find('?')); }
};

/** Status 0 stands for no answer, or for one that is not whole. */
struct Answer {
  int status = 0;
  Headers headers;
  std::string body;
};

/** Sends a request on a connection of its own and waits for the answer, for
 * \p limit at most. */
Answer call(const Address &address, const Request &request, Milliseconds limit);

/** Reads one answer after the other from a connection. */
class AnswerReader {
public:
  explicit AnswerReader(int descriptor) : fd(descriptor) {}

  /** Waits for the next answer, for \p limit at most. */
  Answer next(Milliseconds limit);

private:
  int fd;
  std::string buffered;
};

/** A connection that a server has accepted. */
class Connection {
public:
  explicit Connection(int descriptor) : fd(descriptor) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  Connection(Connection &&) = delete;
  Connection &operator=(Connection &&) = delete;

  /** \return false at the end of the connection. */
  bool readRequest(Request &request);
  bool write(const std::string &bytes) const;
  /** Ends the connection; what waits on it returns. */
  void shutDown() const;

private:
  int fd;
  std::string buffered;
};

/** Serves each connection on a thread of its own. */
class Server {
public:
  using Handler = std::function<Answer(const Request &)>;

  Server(const Address &address, Handler serve);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;
  Server(Server &&) = delete;
  Server &operator=(Server &&) = delete;

  /** Closes all connections and takes no new ones, as a process that ends. */
  void stop();

private:
  struct Shared {
    Handler handler;
    std::atomic<bool> isStopping = false;
    std::mutex mutex;
    std::set<std::shared_ptr<Connection>> open;
  };

  std::shared_ptr<Shared> shared = std::make_shared<Shared>();
  int listener = -1;
  std::thread acceptor;

  void acceptAll();
  static void serveAll(const std::shared_ptr<Shared> &shared,
                       const std::shared_ptr<Connection> &connection);
};

} // namespace review

#endif
