#include "connection/HttpSession.h"

#include <sys/epoll.h>

namespace plantainhatch {

void HttpSession::IdleConnection::onReady(std::uint32_t /*events*/) {
  session->idle[address].erase(position);
}

std::optional<StreamSocket> HttpSession::take(const Address &address) {
  const auto it = idle.find(address);
  if (it == idle.end())
    return std::nullopt;
  IdleList &list = it->second;
  dropOld(list, std::chrono::steady_clock::now());
  while (!list.empty()) {
    StreamSocket socket = std::move(list.back().socket);
    list.pop_back();
    socket.unwatch();
    if (!socket.isStale())
      return socket;
  }
  return std::nullopt;
}

void HttpSession::keep(const Address &address, StreamSocket socket) {
  IdleList &list = idle[address];
  const TimePoint now = std::chrono::steady_clock::now();
  dropOld(list, now);
  if (list.size() >= MaxIdlePerAddress)
    list.pop_front();
  IdleConnection &entry = list.emplace_back();
  entry.session = this;
  entry.address = address;
  entry.socket = std::move(socket);
  entry.since = now;
  entry.position = std::prev(list.end());
  entry.socket.watch(entry, EPOLLRDHUP);
}

void HttpSession::dropUnusedSince(const Address &address, TimePoint time) {
  const auto it = idle.find(address);
  if (it != idle.end())
    it->second.remove_if(
        [&](const IdleConnection &entry) { return entry.since < time; });
}

void HttpSession::dropOld(IdleList &list, TimePoint now) {
  while (!list.empty() && now - list.front().since > MaxIdle)
    list.pop_front();
}

} // namespace plantainhatch
