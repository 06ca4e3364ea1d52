/** \file
 * The TCP side of the peers address: answers bulk requests of other nodes. */
#ifndef PLANTAINHATCH_CONNECTION_BULKSERVER_H
#define PLANTAINHATCH_CONNECTION_BULKSERVER_H

#include "base/Address.h"
#include "base/Finding.h"
#include "connection/GObjectPtr.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace plantainhatch {

/** Listens and answers frames with frames, on the main loop. */
class BulkServer {
public:
  /** Turns a request frame into the reply; nothing closes the connection. */
  using Responder =
      std::function<std::optional<std::string>(const std::string &)>;

  /** Connections at the same time; more wait in the kernel's backlog. */
  static constexpr unsigned MaxConnections = 32;
  /** A connection that is idle for longer is closed. */
  static constexpr unsigned IdleSeconds = 5;

  /** Listens. \return the server, or a finding if the address cannot be used.
   */
  static Checked<std::unique_ptr<BulkServer>> listen(const Address &address,
                                                     Responder responder);

  ~BulkServer();
  BulkServer(const BulkServer &) = delete;
  BulkServer &operator=(const BulkServer &) = delete;
  BulkServer(BulkServer &&) = delete;
  BulkServer &operator=(BulkServer &&) = delete;

private:
  explicit BulkServer(Responder responder);

  GObjectPtr<GSocketService> service;
  /** Shared with connections, which may outlive the server by one callback. */
  std::shared_ptr<Responder> responder;
  std::shared_ptr<unsigned> connections;

  static gboolean onIncoming(GSocketService *service,
                             GSocketConnection *connection, GObject *source,
                             gpointer data);
};

} // namespace plantainhatch

#endif
