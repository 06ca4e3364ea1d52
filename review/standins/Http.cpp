#include "Http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <strings.h>

namespace review {

namespace {

constexpr int Backlog = 256;
constexpr int PollMs = 50;

sockaddr_in toNative(const Address &address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.host.c_str(), &native.sin_addr) != 1)
    throw std::runtime_error("no address: " + address.host);
  return native;
}

int openSocket() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    throw std::runtime_error("no socket is to be had");
  return fd;
}

int openListener(const Address &address) {
  const int fd = openSocket();
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in native = toNative(address);
  if (bind(fd, reinterpret_cast<const sockaddr *>(&native), sizeof(native)) !=
          0 ||
      listen(fd, Backlog) != 0) {
    close(fd);
    throw std::runtime_error("cannot listen at " + address.text());
  }
  return fd;
}

bool hasName(const std::pair<std::string, std::string> &header,
             const std::string &name) {
  return strcasecmp(header.first.c_str(), name.c_str()) == 0;
}

/** Splits the lines behind the first one into headers. */
Headers parseHeaders(const std::string &head) {
  Headers headers;
  std::size_t at = head.find("\r\n");
  while (at != std::string::npos && at + 2 < head.size()) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(begin, at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    const std::size_t value = line.find_first_not_of(" \t", colon + 1);
    headers.emplace_back(line.substr(0, colon), value == std::string::npos
                                                    ? std::string()
                                                    : line.substr(value));
  }
  return headers;
}

std::string formatHeaders(const Headers &headers, const std::string &body,
                          bool hasBody) {
  std::string text;
  for (const auto &[name, value] : headers)
    text.append(name).append(": ").append(value).append("\r\n");
  if (hasBody)
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + (hasBody ? body : std::string());
}

bool writeAll(int fd, const std::string &bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/** Reads once, until \p end at the latest.
 * \return false at the end of the connection, after an error or too late. */
bool readOnce(int fd, std::string &bytes, TimePoint end) {
  const auto left =
      std::chrono::ceil<Milliseconds>(end - std::chrono::steady_clock::now());
  pollfd state{fd, POLLIN, 0};
  if (left.count() <= 0 || poll(&state, 1, static_cast<int>(left.count())) <= 0)
    return false;
  std::array<char, 16384> buffer{};
  const auto n = recv(fd, buffer.data(), buffer.size(), 0);
  if (n <= 0)
    return false;
  bytes.append(buffer.data(), static_cast<std::size_t>(n));
  return true;
}

/** Takes the first answer off \p bytes, if it is there as a whole. */
Answer takeAnswer(std::string &bytes) {
  const std::size_t end = bytes.find("\r\n\r\n");
  if (end == std::string::npos)
    return {};
  Answer answer;
  answer.headers = parseHeaders(bytes.substr(0, end + 2));
  const std::string length = headerOf(answer.headers, "Content-Length");
  if (length.empty())
    return {};
  const std::size_t size = std::stoul(length);
  if (bytes.size() < end + 4 + size)
    return {};
  answer.body = bytes.substr(end + 4, size);
  answer.status = std::stoi(bytes.substr(bytes.find(' ') + 1));
  bytes.erase(0, end + 4 + size);
  return answer;
}

} // namespace

Address freeAddress(const std::string &host) {
  // The system may name a port twice, as nobody listens there yet.
  static std::set<std::string> given;
  while (true) {
    const int fd = openSocket();
    sockaddr_in native = toNative({host, 0});
    socklen_t size = sizeof(native);
    const bool isBound =
        bind(fd, reinterpret_cast<sockaddr *>(&native), size) == 0 &&
        getsockname(fd, reinterpret_cast<sockaddr *>(&native), &size) == 0;
    close(fd);
    if (!isBound)
      throw std::runtime_error("no free port at " + host);
    Address address{host, ntohs(native.sin_port)};
    if (given.insert(address.text()).second)
      return address;
  }
}

std::string headerOf(const Headers &headers, const std::string &name) {
  const auto it = std::ranges::find_if(
      headers, [&](const auto &header) { return hasName(header, name); });
  return it == headers.end() ? std::string() : it->second;
}

Answer call(const Address &address, const Request &request,
            Milliseconds limit) {
  const int fd = openSocket();
  const sockaddr_in native = toNative(address);
  Answer answer;
  if (connect(fd, reinterpret_cast<const sockaddr *>(&native),
              sizeof(native)) == 0 &&
      writeAll(fd, request.method + " " + request.target + " HTTP/1.1\r\n" +
                       formatHeaders(request.headers, request.body,
                                     request.method != "GET")))
    answer = AnswerReader(fd).next(limit);
  close(fd);
  return answer;
}

Answer AnswerReader::next(Milliseconds limit) {
  const TimePoint end = std::chrono::steady_clock::now() + limit;
  Answer answer = takeAnswer(buffered);
  while (answer.status == 0 && readOnce(fd, buffered, end))
    answer = takeAnswer(buffered);
  return answer;
}

Connection::~Connection() { close(fd); }

bool Connection::readRequest(Request &request) {
  const auto readMore = [&] {
    return readOnce(fd, buffered,
                    std::chrono::steady_clock::now() + std::chrono::hours(1));
  };
  std::size_t end = 0;
  while ((end = buffered.find("\r\n\r\n")) == std::string::npos)
    if (!readMore())
      return false;
  const std::string head = buffered.substr(0, end + 2);
  request.headers = parseHeaders(head);
  const std::size_t space = head.find(' ');
  request.method = head.substr(0, space);
  request.target =
      head.substr(space + 1, head.find(' ', space + 1) - space - 1);
  const std::string length = headerOf(request.headers, "Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (buffered.size() < end + 4 + size)
    if (!readMore())
      return false;
  request.body = buffered.substr(end + 4, size);
  buffered.erase(0, end + 4 + size);
  return true;
}

bool Connection::write(const std::string &bytes) const {
  return writeAll(fd, bytes);
}

void Connection::shutDown() const { shutdown(fd, SHUT_RDWR); }

Server::Server(const Address &address, Handler serve) {
  shared->handler = std::move(serve);
  listener = openListener(address);
  acceptor = std::thread([this] { acceptAll(); });
}

Server::~Server() { stop(); }

void Server::stop() {
  if (shared->isStopping.exchange(true))
    return;
  acceptor.join();
  close(listener);
  const std::lock_guard lock(shared->mutex);
  for (const auto &connection : shared->open)
    connection->shutDown();
}

void Server::acceptAll() {
  while (!shared->isStopping) {
    pollfd state{listener, POLLIN, 0};
    if (poll(&state, 1, PollMs) <= 0)
      continue;
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto connection = std::make_shared<Connection>(fd);
    {
      const std::lock_guard lock(shared->mutex);
      shared->open.insert(connection);
    }
    std::thread([shared = shared, connection] {
      serveAll(shared, connection);
    }).detach();
  }
}

void Server::serveAll(const std::shared_ptr<Shared> &shared,
                      const std::shared_ptr<Connection> &connection) {
  Request request;
  while (!shared->isStopping && connection->readRequest(request)) {
    const Answer answer = shared->handler(request);
    const std::string head = "HTTP/1.1 " + std::to_string(answer.status) +
                             " -\r\n" +
                             formatHeaders(answer.headers, answer.body, true);
    if (shared->isStopping || !connection->write(head))
      break;
  }
  connection->shutDown();
  const std::lock_guard lock(shared->mutex);
  shared->open.erase(connection);
}

} // namespace review
