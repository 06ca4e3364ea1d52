#include "process/QuotaPocket.h"

#include <algorithm>
#include <cmath>

namespace plantainhatch {

void QuotaPocket::onCall(TimePoint now) {
  advanceSpan(now);
  ++calls;
  lastCallAt = now;
}

std::optional<QuotaToken> QuotaPocket::take(TimePoint now) {
  dropEnded(now);
  if (tokens.empty())
    return std::nullopt;
  const TimePoint until = tokens.front().until;
  tokens.pop_front();
  return QuotaToken{until, now};
}

void QuotaPocket::giveBack(const QuotaToken &token, TimePoint now) {
  if (now < token.until && token.takenAt > reportedAt)
    insert(token);
}

void QuotaPocket::insert(const QuotaToken &token) {
  const auto it = std::ranges::upper_bound(tokens, token.until, std::less<>(),
                                           &QuotaToken::until);
  tokens.insert(it, token);
}

void QuotaPocket::add(unsigned n, TimePoint askedAt, TimePoint now) {
  const TimePoint until = askedAt + quotaTimes::Token;
  if (until <= now)
    return;
  for (unsigned i = 0; i < n; ++i)
    insert({until, {}});
}

unsigned QuotaPocket::held(TimePoint now) {
  dropEnded(now);
  return static_cast<unsigned>(tokens.size());
}

unsigned QuotaPocket::wanted(std::size_t waiting, TimePoint now) {
  advanceSpan(now);
  const double perSpan = std::max(calls, callsBefore);
  const double ahead =
      perSpan < FewestCallsAhead
          ? 0
          : std::floor(perSpan * std::chrono::duration<double>(Ahead) /
                       std::chrono::duration<double>(RateSpan));
  const double needed = static_cast<double>(waiting) + ahead;
  return static_cast<unsigned>(std::max(0.0, needed - held(now)));
}

void QuotaPocket::dropEnded(TimePoint now) {
  while (!tokens.empty() && tokens.front().until <= now)
    tokens.pop_front();
}

void QuotaPocket::advanceSpan(TimePoint now) {
  if (now - spanStartedAt < RateSpan)
    return;
  callsBefore = now - spanStartedAt < 2 * RateSpan ? calls : 0;
  calls = 0;
  spanStartedAt = now;
}

} // namespace plantainhatch
