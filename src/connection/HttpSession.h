/** \file
 * Connections to other processes that wait for their next use. */
#ifndef PLANTAINHATCH_CONNECTION_HTTPSESSION_H
#define PLANTAINHATCH_CONNECTION_HTTPSESSION_H

#include "base/Time.h"
#include "connection/StreamSocket.h"

#include <list>
#include <map>
#include <memory>
#include <optional>

namespace plantainhatch {

/** Keeps idle connections by address. One that becomes readable while it is
 * idle was closed, or has brought bytes that belong to no request, and is
 * dropped. Used on the main loop only. */
class HttpSession {
public:
  /** Connections that were idle for longer are not used again, as the other
   * side may close them at any moment. */
  static constexpr std::chrono::seconds MaxIdle{4};
  static constexpr std::size_t MaxIdlePerAddress = 16;

  HttpSession() = default;
  HttpSession(const HttpSession &) = delete;
  HttpSession &operator=(const HttpSession &) = delete;
  HttpSession(HttpSession &&) = delete;
  HttpSession &operator=(HttpSession &&) = delete;
  ~HttpSession() = default;

  /** The connection that was used last, if one is fit for use. */
  std::optional<StreamSocket> take(const Address &address);
  /** Keeps a connection on which nothing is under way. */
  void keep(const Address &address, StreamSocket socket);
  /** Closes the idle connections to \p address. To be called when a request
   * there has had no answer in time, as they may be as silent. */
  void drop(const Address &address) { idle.erase(address); }
  /** Closes the idle connections to \p address that were last used before
   * \p time. To be called when a request sent then has had no answer: later
   * ones have been answered since, and are as sound as the path. */
  void dropUnusedSince(const Address &address, TimePoint time);

private:
  struct IdleConnection : ReadyHandler {
    HttpSession *session = nullptr;
    Address address;
    StreamSocket socket;
    TimePoint since;
    std::list<IdleConnection>::iterator position;

    void onReady(std::uint32_t events) override;
  };
  using IdleList = std::list<IdleConnection>;

  std::map<Address, IdleList> idle;

  static void dropOld(IdleList &list, TimePoint now);
};

} // namespace plantainhatch

#endif
