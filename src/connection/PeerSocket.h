/** \file
 * The UDP socket between nodes. */
#ifndef PLANTAINHATCH_CONNECTION_PEERSOCKET_H
#define PLANTAINHATCH_CONNECTION_PEERSOCKET_H

#include "base/Address.h"
#include "base/Finding.h"
#include "connection/GObjectPtr.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace plantainhatch {

/** Sends and receives datagrams on the main loop. */
class PeerSocket {
public:
  /** Called with each datagram; the view is valid during the call. */
  using Receiver = std::function<void(std::string_view)>;

  /** Larger datagrams are cut by the receiver and fail their digest. */
  static constexpr std::size_t MaxDatagram = 8192;

  /** Binds the address. \return the socket, or a finding if the address cannot
   * be used. */
  static Checked<std::unique_ptr<PeerSocket>> bind(const Address &address,
                                                   Receiver receiver);

  ~PeerSocket();
  PeerSocket(const PeerSocket &) = delete;
  PeerSocket &operator=(const PeerSocket &) = delete;
  PeerSocket(PeerSocket &&) = delete;
  PeerSocket &operator=(PeerSocket &&) = delete;

  /** Sends one datagram. Losing it is normal, so there is no result. */
  void send(const Address &receiver, std::string_view bytes);

private:
  PeerSocket(GObjectPtr<GSocket> socket, Receiver receiver);

  GObjectPtr<GSocket> socket;
  Receiver receiver;
  guint source = 0;

  void receiveAll();
  static gboolean onReadable(GSocket *socket, GIOCondition condition,
                             gpointer data);
};

/** A socket address of GLib. \pre \p address holds an IP number. */
GObjectPtr<GSocketAddress> toSocketAddress(const Address &address);

} // namespace plantainhatch

#endif
