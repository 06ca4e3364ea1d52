/** \file
 * A TCP connection that never blocks. */
#ifndef PLANTAINHATCH_CONNECTION_STREAMSOCKET_H
#define PLANTAINHATCH_CONNECTION_STREAMSOCKET_H

#include "base/Address.h"
#include "connection/BufferBudget.h"
#include "connection/Reactor.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace plantainhatch {

/** Owns a connected or connecting socket and what waits to be sent. Used on the
 * main loop only. */
class StreamSocket {
public:
  /** What a read has brought. */
  enum class ReadResult : std::uint8_t { Bytes, Nothing, End, Broken };

  StreamSocket() = default;
  explicit StreamSocket(int fd);
  ~StreamSocket() { close(); }
  StreamSocket(const StreamSocket &) = delete;
  StreamSocket &operator=(const StreamSocket &) = delete;
  StreamSocket(StreamSocket &&other) noexcept;
  StreamSocket &operator=(StreamSocket &&other) noexcept;

  /** Starts to connect. \return nothing if that failed at once. */
  static std::optional<StreamSocket> connect(const Address &address);

  bool isOpen() const { return fd >= 0; }
  /** Why connecting failed, or 0. \pre The socket became writable. */
  int connectError() const;

  /** Tells \p handler of events from now on. */
  void watch(ReadyHandler &handler, std::uint32_t events);
  /** Whether bytes are to be read. \pre watch() was called. */
  void setReading(bool isWanted);
  void unwatch();

  /** Appends what can be read at once to \p bytes, up to \p most. */
  ReadResult read(std::string &bytes, std::size_t most);

  /** Queues bytes and sends what can leave at once. \return false if the
   * connection is broken. */
  bool write(std::string_view bytes);
  /** Sends more of what is queued. \return false if the connection is broken.
   */
  bool flush();
  bool hasQueued() const { return sent < queued.size(); }
  std::size_t queuedBytes() const { return queued.size() - sent; }
  /** True once any byte may have reached the other side. */
  bool hasSentAny() const { return sentAny; }

  /** No more will be sent; reading goes on. */
  bool closeSending();
  /** Closes so that the other side sees a reset. */
  void reset();
  void close();

  /** The other side's IP number and port. */
  Address peer() const;
  /** True if the other side has closed, or has sent what nobody asked for. */
  bool isStale() const;
  /** True if the other side has closed, even if the main loop has not reported
   * it yet. */
  bool hasPeerClosed() const;

private:
  int fd = -1;
  bool isWatched = false;
  bool isReading = true;
  bool sentAny = false;
  std::uint32_t baseEvents = 0;
  std::string queued;
  std::size_t sent = 0;
  BufferCharge queuedCharge;

  void updateEvents();
};

} // namespace plantainhatch

#endif
