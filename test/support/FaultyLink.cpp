#include "support/FaultyLink.h"

#include <algorithm>
#include <deque>
#include <string>
#include <utility>

namespace plantainhatch::test {

namespace {

using Mode = FaultyLink::Mode;

constexpr std::size_t MaxRead = 64UL * 1024;
constexpr std::chrono::milliseconds SweepInterval{50};

} // namespace

/** One connection on both sides. */
class FaultyLink::Relay {
public:
  Relay(StreamSocket client, StreamSocket server, Mode mode)
      : forward{*this, true}, back{*this, false}, mode(mode) {
    forward.from = std::move(client);
    back.from = std::move(server);
    forward.from.watch(forward, 0);
    back.from.watch(back, 0);
  }

  void setMode(Mode newMode) {
    mode = newMode;
    pump();
  }
  void silence() { isSilent = true; }
  void reset() {
    isOver = true;
    for (Direction *const it : {&forward, &back}) {
      it->from.unwatch();
      it->from.reset();
    }
  }
  bool isEnded() const { return isOver; }

private:
  struct Piece {
    std::string bytes;
    TimePoint due;
  };

  /** Bytes from one side to the other. */
  struct Direction : ReadyHandler {
    Relay &relay;
    bool isForward;
    StreamSocket from;
    std::deque<Piece> waiting;
    bool hasEnded = false;
    /** The sender's reset, which the other side learns of when bytes pass. */
    bool isBroken = false;

    Direction(Relay &relay, bool isForward)
        : relay(relay), isForward(isForward) {}

    void onReady(std::uint32_t /*events*/) override { relay.onReady(*this); }
  };

  Direction forward;
  Direction back;
  Mode mode;
  bool isSilent = false;
  bool isOver = false;
  Timer delayTimer;

  StreamSocket &receiverOf(const Direction &direction) {
    return direction.isForward ? back.from : forward.from;
  }

  bool isHeld(const Direction &direction) const {
    return isSilent || mode == Mode::HoldBoth ||
           mode == (direction.isForward ? Mode::HoldForward : Mode::HoldBack);
  }

  void onReady(Direction &direction) {
    if (isOver)
      return;
    if (!direction.from.flush()) {
      reset();
      return;
    }
    std::string bytes;
    const auto result = direction.from.read(bytes, MaxRead);
    if (result == StreamSocket::ReadResult::Broken) {
      direction.isBroken = true;
      direction.from.unwatch();
      pump();
      return;
    }
    if (result == StreamSocket::ReadResult::End) {
      direction.hasEnded = true;
      direction.from.setReading(false);
    }
    const Duration delay =
        mode == Mode::Delay ? Duration(DelayTime) : Duration();
    if (!bytes.empty())
      direction.waiting.push_back(
          {std::move(bytes), std::chrono::steady_clock::now() + delay});
    pump();
  }

  void pump() {
    pump(forward);
    if (!isOver)
      pump(back);
  }

  void pump(Direction &direction) {
    if (isHeld(direction))
      return;
    if (direction.isBroken) {
      reset();
      return;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    StreamSocket &receiver = receiverOf(direction);
    while (!direction.waiting.empty() && direction.waiting.front().due <= now) {
      if (!receiver.write(direction.waiting.front().bytes)) {
        reset();
        return;
      }
      direction.waiting.pop_front();
    }
    if (!direction.waiting.empty())
      delayTimer.startOnce(DelayTime, [this] { pump(); });
    else if (direction.hasEnded)
      receiver.closeSending();
    if (forward.hasEnded && back.hasEnded && forward.waiting.empty() &&
        back.waiting.empty()) {
      isOver = true;
      forward.from.unwatch();
      back.from.unwatch();
    }
  }
};

std::unique_ptr<FaultyLink> FaultyLink::listen(const Address &address,
                                               const Address &server) {
  std::unique_ptr<FaultyLink> link(new FaultyLink(server));
  auto socket = ListeningSocket::listen(
      address, "link", [raw = link.get()](StreamSocket client) {
        raw->accept(std::move(client));
      });
  if (!socket)
    return nullptr;
  link->socket = std::move(socket).value();
  link->sweepTimer.startRepeating(SweepInterval, [raw = link.get()] {
    std::erase_if(raw->relays, [](const auto &it) { return it->isEnded(); });
  });
  return link;
}

FaultyLink::FaultyLink(const Address &server) : server(server) {}

FaultyLink::~FaultyLink() = default;

void FaultyLink::accept(StreamSocket client) {
  ++accepted;
  auto toServer = StreamSocket::connect(server);
  if (!toServer) {
    client.reset();
    return;
  }
  relays.push_back(
      std::make_unique<Relay>(std::move(client), std::move(*toServer), mode));
}

void FaultyLink::setMode(Mode newMode) {
  mode = newMode;
  for (const auto &it : relays)
    it->setMode(newMode);
}

void FaultyLink::resetOpen() {
  for (const auto &it : relays)
    it->reset();
}

void FaultyLink::silenceOpen() {
  for (const auto &it : relays)
    it->silence();
}

} // namespace plantainhatch::test
