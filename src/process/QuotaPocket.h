/** \file
 * The tokens that a node holds for the calls of one team. */
#ifndef PLANTAINHATCH_PROCESS_QUOTAPOCKET_H
#define PLANTAINHATCH_PROCESS_QUOTAPOCKET_H

#include "process/QuotaPledge.h"

#include <deque>
#include <optional>

namespace plantainhatch {

/** A token for one call. */
struct QuotaToken {
  /** It is worth nothing from then on. */
  TimePoint until;
  /** When a call took it. */
  TimePoint takenAt;
};

/** Holds tokens until they are used or end, and reckons how many more to ask
 * for. Time is an argument. Not thread-safe. */
class QuotaPocket {
public:
  /** Tokens are asked for this far ahead, so that most calls need not wait for
   * an answer; none for a team whose calls are so far apart that they would end
   * unused. */
  static constexpr std::chrono::milliseconds Ahead{75};
  /** Calls of a span from which on tokens are asked for ahead; with fewer, many
   * would end unused. */
  static constexpr unsigned FewestCallsAhead = 15;

  /** A call has come. */
  void onCall(TimePoint now);
  /** The token that ends first; nothing if there is none. */
  std::optional<QuotaToken> take(TimePoint now);
  /** A call that took \p token was refused before it was sent. No effect if the
   * keeper has been told that the token was used, as it may have minted another
   * one. \pre Each token is given back once at most. */
  void giveBack(const QuotaToken &token, TimePoint now);
  /** The keeper has granted \p n tokens in the answer to a question of
   * \p askedAt. */
  void add(unsigned n, TimePoint askedAt, TimePoint now);
  /** Tokens that can be used. */
  unsigned held(TimePoint now);
  /** The same, to be told to the keeper. */
  unsigned report(TimePoint now) {
    reportedAt = now;
    return held(now);
  }
  /** Tokens to ask for. \param waiting calls that wait for one. */
  unsigned wanted(std::size_t waiting, TimePoint now);
  /** Drops all, as this process may not know how much time has passed. */
  void clear(TimePoint now) {
    tokens.clear();
    reportedAt = now;
  }

  /** True if no call has come for so long that nothing is to be kept. */
  bool isIdle(TimePoint now) const { return now - lastCallAt > IdleTime; }

private:
  static constexpr std::chrono::seconds IdleTime{5};
  static constexpr std::chrono::milliseconds RateSpan{500};

  /** Ascending by their end. */
  std::deque<QuotaToken> tokens;
  TimePoint reportedAt;
  TimePoint lastCallAt;
  /** Calls in the present span, and in the one before. */
  TimePoint spanStartedAt;
  unsigned calls = 0;
  unsigned callsBefore = 0;

  void insert(const QuotaToken &token);
  void dropEnded(TimePoint now);
  void advanceSpan(TimePoint now);
};

} // namespace plantainhatch

#endif
