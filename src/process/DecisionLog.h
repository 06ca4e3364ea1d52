/** \file
 * One line for each decision that touches a request or changes what the process
 * believes. */
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

/** Kinds of decisions; each has a bound of its own, so that many of one leave
 * room for the others. */
enum class DecisionKind : std::uint8_t {
  /** Start, stop, reload, lost and regained dependencies, news of the fleet. */
  StateChange,
  /** The system refused a request. */
  Refused,
  /** A request failed, or what became of it is not known. */
  Failed,
  /** A target did not give the answer that was asked for. */
  Attempt,
  Served
};

/** "belief", "refused", "failed", "attempt" or "served". */
std::string_view toString(DecisionKind kind);

/** Gathers lines of JSON, one object each, up to a rate for each kind and up to
 * MaxBytes in all; what is left out is counted. Not thread-safe. */
class DecisionLog {
public:
  /** Lines that were not taken out yet. */
  static constexpr std::size_t MaxBytes = 128UL * 1024;
  static constexpr std::chrono::seconds OmittedReportInterval{1};

  /** \param node is named in each line. */
  explicit DecisionLog(std::string node);

  /** Adds a line with \p fields. */
  void add(DecisionKind kind, const DecisionFields &fields, WallTime wallTime,
           TimePoint now);

  /** Whole lines that wait to be written, at most \p most bytes of them; adds a
   * line about what was left out when one is due. */
  std::string take(std::size_t most, WallTime wallTime, TimePoint now);

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
