/** \file
 * A stand-in for a back-end server. */
#ifndef PLANTAINHATCH_TEST_STANDINS_TARGET_H
#define PLANTAINHATCH_TEST_STANDINS_TARGET_H

#include "connection/HttpServer.h"
#include "connection/SoupSession.h"
#include "connection/Timer.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace plantainhatch::test {

/** How a target behaves. All of it can be changed by POST /standin/control with
 * the same names. */
struct TargetOptions {
  Address listen;
  /** The targets address of its node. */
  Address node;
  std::string service = "order-status";
  unsigned slots = 12;
  unsigned coldSlots = 2;
  unsigned connections = 220;
  /** How long a call takes in the mean; half of it is the least. */
  double serviceMs = 2;
  /** Every call takes the same time. */
  bool isSteady = false;
  /** Calls after which it is warm; a cold call takes three times as long. */
  unsigned warmAfter = 0;
  /** Dies when it is handed more than it can bear. */
  bool fallsOver = false;
  bool sheds = false;
  /** Closes a connection that is used again, before it answers. */
  bool closesReused = false;
  /** Closes every connection without an answer. */
  bool breaksAll = false;
  /** What the load endpoint says in place of the truth; negative for the truth.
   */
  int loadLie = -1;
  /** Switches between fast and ten times slower at this interval; 0 for never.
   */
  unsigned switchMs = 0;
  /** The second half of an answer leaves this much after the first. */
  unsigned bodyMs = 0;
  /** A URL that each run calls before it answers, passing on the identifier and
   * the time limit; its status and body become the answer. */
  std::string calls;
  /** Each run with an idempotency key is appended here before it starts: the
   * key and the identifier of the request. */
  std::string journal;
  std::uint64_t seed = 1;
};

/** Announces itself, runs calls with a service time, and counts what it was
 * handed. */
class Target {
public:
  /** Listens and announces itself. \return the stand-in, or findings. */
  static Checked<std::unique_ptr<Target>> start(TargetOptions options);

  /** Leaves, finishes what is in progress, and calls \p done. */
  void drain(std::function<void()> done);

private:
  struct NextCall;

  TargetOptions options;
  std::unique_ptr<HttpServer> server;
  GObjectPtr<SoupSession> session;
  std::string bootId;
  std::mt19937_64 random;
  Timer announceTimer;
  Timer switchTimer;
  Timer drainTimer;
  Timer crashTimer;
  bool isSlow = false;
  unsigned running = 0;
  unsigned answering = 0;
  unsigned peak = 0;
  std::uint64_t runs = 0;
  std::uint64_t overruns = 0;
  /** Nothing ran when it was last looked while draining. */
  bool isIdle = false;
  std::uint64_t cancelled = 0;
  std::map<std::string, unsigned> runsByKey;
  std::map<std::string, unsigned> usesByConnection;

  explicit Target(TargetOptions options);

  void announce();
  void post(const std::string &path, const nlohmann::json &body);
  void serve(const IncomingCallPtr &call);
  void control(const IncomingCallPtr &call);
  void run(const IncomingCallPtr &call);
  void finishRun(const IncomingCallPtr &call);
  void answerInHalves(const IncomingCallPtr &call, const HeaderList &headers,
                      const std::string &body);
  void callNext(const IncomingCallPtr &call);
  void countRun(const CallRequest &request);
  void sendBundle(const IncomingCallPtr &call, std::uint64_t left,
                  std::uint64_t offset, std::uint64_t breakAt);
  unsigned bears() const {
    return runs < options.warmAfter ? options.coldSlots : options.slots;
  }
  Duration drawServiceTime();
};

/** Byte \p n of every bundle. */
constexpr char bundleByte(std::uint64_t n) {
  return static_cast<char>((n * 31 + n / 251) % 251);
}

} // namespace plantainhatch::test

#endif
