/** \file
 * What an ingress knows of the load of targets it may forward to. */
#ifndef PLANTAINHATCH_PROCESS_LOADTABLE_H
#define PLANTAINHATCH_PROCESS_LOADTABLE_H

#include "base/Address.h"
#include "base/Time.h"
#include "process/FailureRate.h"
#include "process/Message.h"

#include <map>

namespace plantainhatch {

/** A guess of the load at one target. */
struct LoadEstimate {
  double inFlight = 0;
  double limit = 0;
  Duration latency{};
  /** Since the target's gate was last heard; very large if never. */
  Duration age{};
  /** Failures in a row, as seen from this node. */
  unsigned failures = 0;
  /** How long work takes there; 1 means as usual or not known. */
  double slowdown = 1;
  bool isCold = false;
  /** The share of calls that fail, the worse of what its gate says and of what
   * this node saw. */
  double failureRate = 0;
};

/** Loads by the peers address of the node beside the target. Reports ride on
 * replies and probes; between them the node adds the calls it has sent itself.
 * Only targets of services that are called here have an entry. Not thread-safe.
 */
class LoadTable {
public:
  /** Reports older than this say nothing of calls in flight any more. */
  static constexpr std::chrono::milliseconds MaxReportAge{1'000};
  /** Entries not used for this long are dropped. */
  static constexpr std::chrono::seconds EntryLifetime{60};

  /** A call has been sent. */
  void onSent(const Address &target, TimePoint now);
  /** A call has ended; \p failed if without an answer. */
  void onEnded(const Address &target, bool failed, TimePoint now);
  /** A report has come in. */
  void onReport(const Address &target, const LoadReport &report, TimePoint now);
  /** The guess at \p now. \p assumedLimit stands in for a limit that was never
   * reported. */
  LoadEstimate estimate(const Address &target, unsigned assumedLimit,
                        TimePoint now) const;
  /** Drops what was not used for long. */
  void expire(TimePoint now);
  std::size_t size() const { return entries.size(); }

private:
  struct Entry {
    unsigned outstanding = 0;
    unsigned sentSinceReport = 0;
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
