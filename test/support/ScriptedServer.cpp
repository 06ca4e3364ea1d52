#include "support/ScriptedServer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <utility>

namespace plantainhatch::test {

namespace {

constexpr int Backlog = 64;
constexpr int PollMs = 20;

int listenAt(const Address &address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    std::abort();
  const int yes = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in storage{};
  storage.sin_family = AF_INET;
  storage.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &storage.sin_addr);
  const bool isListening =
      bind(fd, reinterpret_cast<const sockaddr *>(&storage), sizeof(storage)) ==
          0 &&
      listen(fd, Backlog) == 0;
  if (!isListening)
    std::abort();
  return fd;
}

bool isReady(int fd, short events) {
  pollfd entry{fd, events, 0};
  return poll(&entry, 1, PollMs) > 0;
}

} // namespace

bool ScriptedServer::Connection::isOver() const {
  return server.isStopping || std::chrono::steady_clock::now() >= end;
}

std::optional<std::string> ScriptedServer::Connection::readRequest() {
  static constexpr std::string_view HeadEnd = "\r\n\r\n";
  while (!isOver()) {
    if (const auto at = input.find(HeadEnd); at != std::string::npos) {
      std::string head = input.substr(0, at + HeadEnd.size());
      input.clear();
      return head;
    }
    if (!isReady(fd, POLLIN))
      continue;
    std::array<char, 4096> buf{};
    const auto n = recv(fd, buf.data(), buf.size(), 0);
    if (n <= 0)
      return std::nullopt;
    input.append(buf.data(), static_cast<std::size_t>(n));
  }
  return std::nullopt;
}

bool ScriptedServer::Connection::write(std::string_view bytes) {
  while (!bytes.empty()) {
    if (isOver())
      return false;
    if (!isReady(fd, POLLOUT))
      continue;
    const auto n =
        send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && errno == EAGAIN)
      continue;
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

ScriptedServer::ScriptedServer(const Address &address, Script script)
    : script(std::move(script)), listener(listenAt(address)),
      acceptor([this] { acceptAll(); }) {}

ScriptedServer::ScriptedServer(const Address &address, std::string start,
                               std::string repeated)
    : ScriptedServer(address, [start = std::move(start),
                               repeated = std::move(repeated)](Connection &it) {
        if (!it.readRequest() || !it.write(start))
          return;
        while (it.write(repeated)) {
        }
      }) {}

ScriptedServer::~ScriptedServer() {
  isStopping = true;
  acceptor.join();
  for (std::thread &it : threads)
    it.join();
  close(listener);
}

void ScriptedServer::acceptAll() {
  while (!isStopping) {
    if (!isReady(listener, POLLIN))
      continue;
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    ++accepted;
    ++open;
    const std::scoped_lock lock(mutex);
    threads.emplace_back([this, fd] {
      Connection connection(*this, fd);
      script(connection);
      close(fd);
      --open;
    });
  }
}

} // namespace plantainhatch::test
