/** \file
 * Load estimates of the targets that an ingress may forward calls to. */
#ifndef PLANTAINHATCH_PROCESS_LOADTABLE_H
#define PLANTAINHATCH_PROCESS_LOADTABLE_H

#include "base/Address.h"
#include "base/Time.h"
#include "process/FailureRate.h"
#include "process/Message.h"

#include <map>

namespace plantainhatch {

/** The estimated load of one target. */
struct LoadEstimate {
  /** Calls at the target's gate, in flight or queued. */
  double inFlight = 0;
  /** Concurrent calls that its gate allows. */
  double limit = 0;
  /** Zero if not known. */
  Duration latency{};
  /** Time since the last report of the target's gate; Duration::max() if there
   * was none. */
  Duration age{};
  /** Consecutive failures of calls sent by this node. */
  unsigned failures = 0;
  /** Processing time relative to normal: 2 is twice as slow, 1 is normal or not
   * known. */
  double slowdown = 1;
  /** True if the gate reported that it limits the rate of a cold target. */
  bool isCold = false;
  /** Share of failed calls: the higher of the rate that the gate reported and
   * that of the calls sent by this node. */
  double failureRate = 0;
};

/** Load estimates by the peers address of the target's node. Reports are
 * piggybacked on answers to forwarded calls, sent in reply to probes, and sent
 * unsolicited when the load changes abruptly. Between two reports, calls sent
 * by this node are added. An entry is created by the first call to a target or
 * report of it, and expires when unused. Not thread-safe. */
class LoadTable {
public:
  /** The calls in flight and the failure rate of older reports are ignored. */
  static constexpr std::chrono::milliseconds MaxReportAge{1'000};
  /** Unused entries without outstanding calls are removed after this time. */
  static constexpr std::chrono::seconds EntryLifetime{60};

  /** A call was sent to \p target. */
  void onSent(const Address &target, TimePoint now);
  /** A call to \p target ended. \p failed is true if it got no complete answer,
   * or a server error for which it is retried. A call that was refused, or
   * that this node cancelled, did not fail, unless no connection was
   * possible. */
  void onEnded(const Address &target, bool failed, TimePoint now);
  /** A report for \p target was received. */
  void onReport(const Address &target, const LoadReport &report, TimePoint now);
  /** The estimate at \p now. \p assumedLimit is used until a limit is
   * reported. */
  LoadEstimate estimate(const Address &target, unsigned assumedLimit,
                        TimePoint now) const;
  /** Removes entries without outstanding calls that were not used for
   * EntryLifetime. */
  void expire(TimePoint now);
  std::size_t size() const { return entries.size(); }
  /** Calls sent by this node that have not ended, to all targets. */
  std::size_t outstanding() const;

private:
  struct Entry {
    /** Calls sent by this node that have not ended. */
    unsigned outstanding = 0;
    /** Calls sent since the last report, which does not include them, less
     * calls that ended since; not below zero. */
    unsigned sentSinceReport = 0;
    /** Consecutive failed calls. */
    unsigned failures = 0;
    FailureRate failureRate;
    LoadReport report;
    TimePoint reportedAt;
    TimePoint usedAt;
  };
  std::map<Address, Entry> entries;
};

} // namespace plantainhatch

#endif
