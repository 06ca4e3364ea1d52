/** \file
 * A TCP relay on loopback whose connections can be disturbed. */
#ifndef PLANTAINHATCH_TEST_SUPPORT_FAULTYLINK_H
#define PLANTAINHATCH_TEST_SUPPORT_FAULTYLINK_H

#include "base/Time.h"
#include "connection/ListeningSocket.h"
#include "connection/Timer.h"

#include <list>
#include <memory>

namespace plantainhatch::test {

/** Takes connections at one address and relays each to another. Used on the
 * main loop only. */
class FaultyLink {
public:
  /** What becomes of bytes while a mode holds. */
  enum class Mode : std::uint8_t {
    Pass,
    /** All bytes arrive DelayTime later. */
    Delay,
    /** Bytes towards the server wait, as behind a path that is cut. */
    HoldForward,
    /** The same towards the client. */
    HoldBack,
    HoldBoth
  };
  static constexpr std::chrono::milliseconds DelayTime{120};

  /** \return nothing if the address cannot be used. */
  static std::unique_ptr<FaultyLink> listen(const Address &address,
                                            const Address &server);
  ~FaultyLink();
  FaultyLink(const FaultyLink &) = delete;
  FaultyLink &operator=(const FaultyLink &) = delete;
  FaultyLink(FaultyLink &&) = delete;
  FaultyLink &operator=(FaultyLink &&) = delete;

  /** For open and new connections. */
  void setMode(Mode newMode);
  /** Open connections are reset on both sides. */
  void resetOpen();
  /** Connections that were ever taken. */
  std::uint64_t acceptedCount() const { return accepted; }
  /** Open connections bring no byte any more, whatever the mode. */
  void silenceOpen();

private:
  class Relay;

  Address server;
  Mode mode = Mode::Pass;
  std::uint64_t accepted = 0;
  std::unique_ptr<ListeningSocket> socket;
  std::list<std::unique_ptr<Relay>> relays;
  Timer sweepTimer;

  explicit FaultyLink(const Address &server);
  void accept(StreamSocket client);
};

} // namespace plantainhatch::test

#endif
