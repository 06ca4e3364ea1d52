/** \file
 * Finds out on demand whether the configuration in force is the newest. */
#ifndef PLANTAINHATCH_NODE_FRESHNESSCHECK_H
#define PLANTAINHATCH_NODE_FRESHNESSCHECK_H

#include "base/TokenBucket.h"
#include "connection/Timer.h"
#include "process/FreshnessGuard.h"

#include <deque>
#include <functional>

namespace plantainhatch {

/** A call that no rule matches may be denied only if the configuration is known
 * to be the newest; otherwise a rule for it may have been added. Asks the store
 * where that is not known, for all calls that wait together. Used on the main
 * loop only. */
class FreshnessCheck {
public:
  /** A configuration that was the newest this long before a call arrived is
   * good enough for it. */
  static constexpr std::chrono::milliseconds MaxAge{500};
  /** Longest wait for the store. */
  static constexpr std::chrono::milliseconds TimeLimit{500};
  /** Requests to the store that all nodes together may make, per second. */
  static constexpr double RequestsPerSecond = 400;
  /** Requests that one node may make at once. */
  static constexpr double Burst = 4;

  using Done = std::function<void(bool isNewest)>;

  /** \param ask asks the store for its newest version, which must lead to
   * onConfirmed() or onNotConfirmed() later; it returns false if it cannot ask.
   * \p guard must outlive the check. */
  FreshnessCheck(const FreshnessGuard &guard, std::function<bool()> ask)
      : guard(guard), ask(std::move(ask)) {}

  /** Calls \p done, at once or within TimeLimit. Its argument is false if the
   * answer has not been found out.
   * \param mayWait is false if the store is known not to answer; then it is
   * asked for the sake of later calls only. \param nodes is the size of the
   * fleet, which shares RequestsPerSecond. */
  void run(TimePoint now, std::size_t nodes, bool mayWait, Done done);

  /** The guard has been told of a confirmation. */
  void onConfirmed();
  /** The store does not answer, or not with its newest version. */
  void onNotConfirmed();

private:
  struct Waiter {
    TimePoint arrivedAt;
    Done done;
  };

  const FreshnessGuard &guard;
  std::function<bool()> ask;
  TokenBucket budget{RequestsPerSecond, Burst};
  std::deque<Waiter> waiters;
  Timer timer;
  TimePoint askedAt;
  bool isAsking = false;

  bool isNewestFor(TimePoint arrivedAt) const;
  bool askOnce(TimePoint now, std::size_t nodes);
  void startTimer();
  void expire();
};

} // namespace plantainhatch

#endif
