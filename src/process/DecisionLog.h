/** \file
 * Rate-limited structured log of the decisions on requests and of changes in
 * the state of the process. */
#ifndef PLANTAINHATCH_PROCESS_DECISIONLOG_H
#define PLANTAINHATCH_PROCESS_DECISIONLOG_H

#include "base/Time.h"
#include "base/TokenBucket.h"
#include "process/DecisionField.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace plantainhatch {

/** Kinds of decisions. Each has its own rate limit, so that frequent lines of
 * one kind do not suppress the others. */
enum class DecisionKind : std::uint8_t {
  /** The state of the process changed: start, stop, reload, dependencies lost
   * and regained, membership. Written as "belief". */
  StateChange,
  /** A request was refused without being executed. */
  Refused,
  /** A request failed, got an answer with a status of 500 or above, or has an
   * unknown outcome. */
  Failed,
  /** An attempt at a target did not yield the requested answer. */
  Attempt,
  /** A request got an answer with a status below 500. */
  Served
};

/** "belief", "refused", "failed", "attempt" or "served". */
std::string_view toString(DecisionKind kind);

/** Buffers lines, each one JSON object, up to a rate per kind and about
 * MaxBytes in total. Lines beyond that are dropped and counted. Not
 * thread-safe. */
class DecisionLog {
public:
  /** Lines are dropped while at least this many bytes are buffered. */
  static constexpr std::size_t MaxBytes = 128UL * 1024;
  /** Minimum interval between reports of the numbers of dropped lines. */
  static constexpr std::chrono::seconds OmittedReportInterval{1};

  /** \param node identifies this node in each line. */
  explicit DecisionLog(std::string node);

  /** Adds a line with \p fields, or counts it as dropped. \p wallTime is
   * written, \p now drives the rate limit. */
  void add(DecisionKind kind, const DecisionFields &fields, WallTime wallTime,
           TimePoint now);

  /** Removes and returns complete lines of at most \p maxBytes in total, oldest
   * first; empty if the first line is longer. First adds a line with the number
   * of dropped lines for each kind that has any, if it is due.
   * \pre \p maxBytes > 0. */
  std::string take(std::size_t maxBytes, WallTime wallTime, TimePoint now);

private:
  static constexpr std::size_t KindCount = 5;

  std::string node;
  std::string lines;
  std::array<TokenBucket, KindCount> rateLimiters;
  std::array<std::uint64_t, KindCount> omitted{};
  TimePoint omittedReportedAt;

  void append(DecisionKind kind, const DecisionFields &fields,
              WallTime wallTime);
  void reportOmitted(WallTime wallTime, TimePoint now);
};

} // namespace plantainhatch

#endif
