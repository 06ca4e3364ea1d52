/** \file
 * Blocking HTTP for tests. */
#ifndef PLANTAINHATCH_TEST_SUPPORT_HTTPCLIENT_H
#define PLANTAINHATCH_TEST_SUPPORT_HTTPCLIENT_H

#include "base/Address.h"
#include "connection/SoupSession.h"
#include "request/CallRequest.h"

#include <functional>
#include <string>

namespace plantainhatch::test {

/** What came back. Status 0 means that no whole answer did. */
struct HttpAnswer {
  unsigned status = 0;
  HeaderList headers;
  std::string body;

  /** A header's value, or an empty text. */
  std::string header(const std::string &name) const;
};

/** Sends one request and runs the main loop until it has ended. */
class HttpClient {
public:
  HttpClient();

  HttpAnswer send(const Address &address, const std::string &method,
                  const std::string &target, const HeaderList &headers = {},
                  const std::string &body = {},
                  std::chrono::milliseconds limit = std::chrono::seconds(10));

  HttpAnswer get(const Address &address, const std::string &target) {
    return send(address, "GET", target);
  }

  /** Sends without waiting; \p done is called on the main loop.
   * \return what gives the call up by closing its connection. */
  GObjectPtr<GCancellable>
  sendAsync(const Address &address, const std::string &method,
            const std::string &target, const HeaderList &headers,
            const std::string &body, std::chrono::milliseconds limit,
            std::function<void(HttpAnswer)> done);

  /** Fetches a body of any length without keeping it. \return its length and
   * digest, and whether it ended cleanly. */
  struct Download {
    std::uint64_t length = 0;
    std::string digest;
    bool isWhole = false;
  };
  Download download(const Address &address, const std::string &target);

  /** Sends \p raw on a connection of its own and reads until the other side
   * closes it. \return all bytes that came back. */
  static std::string exchangeRaw(const Address &address,
                                 const std::string &raw);

private:
  GObjectPtr<SoupSession> session;
};

} // namespace plantainhatch::test

#endif
