/** \file
 * A stand-in for callers: open-loop load that checks each answer. */
#ifndef PLANTAINHATCH_TEST_STANDINS_CALLER_H
#define PLANTAINHATCH_TEST_STANDINS_CALLER_H

#include "base/Address.h"
#include "base/Time.h"
#include "connection/SoupSession.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace plantainhatch::test {

/** What is sent. */
struct CallerOptions {
  /** Nodes, used in turn. */
  std::vector<Address> nodes;
  std::string method = "GET";
  std::string path = "/status";
  /** Calls a second, with exponential gaps. */
  double rate = 100;
  std::chrono::milliseconds duration{1'000};
  /** Sends an idempotency key of its own with each call. */
  bool hasKeys = false;
  /** One call in this many is given up by closing its connection; 0 for none.
   */
  unsigned cancelEvery = 0;
  std::chrono::milliseconds timeout{5'000};
  std::uint64_t seed = 1;
};

/** What came of it. */
struct CallerReport {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t notRun = 0;
  std::uint64_t unknown = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;
  /** Answers to another request, cut short, or of other content. */
  std::uint64_t wrong = 0;
  /** Latencies from the intended start, of answers and of refusals. */
  std::vector<Duration> latencies;
  std::vector<Duration> refusalLatencies;
  std::map<std::string, std::uint64_t> byTarget;
  std::map<std::string, std::uint64_t> statuses;
  /** Of the calls that were answered by a node and not by a target. */
  std::map<std::string, std::uint64_t> reasons;
  /** Of the calls that had no answer. */
  std::map<std::string, std::uint64_t> errors;

  nlohmann::json toJson() const;
};

/** The given quantile of \p samples; zero if there are none. */
Duration quantileOf(std::vector<Duration> samples, double quantile);

/** Sends calls on a schedule that does not wait for answers. */
class Caller {
public:
  explicit Caller(CallerOptions options);

  /** Runs the main loop until every call has ended. */
  CallerReport run();

private:
  struct Call;

  CallerOptions options;
  GObjectPtr<SoupSession> session;
  std::mt19937_64 random;
  CallerReport report;
  std::uint64_t pending = 0;

  void send(TimePoint intended);
  void fail(const Call &call, const std::string &error);
  void finish(const Call &call, const std::string &body);
  void check(const Call &call, const std::string &body);
  static void onDone(GObject *session, GAsyncResult *result, gpointer data);
};

} // namespace plantainhatch::test

#endif
