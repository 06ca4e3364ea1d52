#include "process/QuotaKeeper.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

namespace plantainhatch {

namespace {

/** With a smaller part, a team may be turned away that is under its quota. */
constexpr double LeastPart = 0.5;
/** Keeps the wait finite. */
constexpr double LeastCallsPerSecond = 1e-3;

double secondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

} // namespace

void QuotaKeeper::onPledge(const Address &node, TimePoint askedAt,
                           std::size_t parts, TimePoint now) {
  const TimePoint until = askedAt + quotaTimes::Pledge;
  if (until <= now)
    return;
  // Until now, the part may have been another keeper's.
  refillAll(now);
  Pledge &pledge = pledges[node];
  pledge = {std::max(pledge.until, until), parts};
}

void QuotaKeeper::setParts(std::size_t parts, TimePoint now) {
  if (parts == ownParts)
    return;
  refillAll(now);
  ownParts = parts;
}

double QuotaKeeper::share(TimePoint now) const {
  std::size_t valid = 0;
  std::size_t parts = std::max<std::size_t>(ownParts, 1);
  for (const Pledge &it : pledges | std::views::values)
    if (now < it.until) {
      ++valid;
      parts = std::max(parts, it.parts);
    }
  return std::min(1.0, static_cast<double>(valid) / static_cast<double>(parts));
}

void QuotaKeeper::refillAll(TimePoint now) {
  for (Team &it : teams | std::views::values)
    refill(it, now);
  std::erase_if(pledges,
                [now](const auto &it) { return it.second.until <= now; });
}

double QuotaKeeper::outstandingOf(Team &team, TimePoint now) {
  std::erase_if(team.outstanding,
                [now](const auto &it) { return it.second.until <= now; });
  return std::transform_reduce(
      team.outstanding.begin(), team.outstanding.end(), 0.0, std::plus<>(),
      [](const auto &it) { return static_cast<double>(it.second.tokens); });
}

void QuotaKeeper::refill(Team &team, TimePoint now) {
  const double part = share(now);
  const double minted =
      part * team.limit.callsPerSecond * secondsBetween(team.refilledAt, now);
  team.refilledAt = now;
  team.unmet = std::max(0.0, team.unmet - minted);
  const double most =
      std::max(0.0, part * team.limit.burst - outstandingOf(team, now));
  team.tokens = std::min(team.tokens + minted, most);
}

void QuotaKeeper::setLimits(const std::map<std::uint64_t, QuotaLimit> &limits,
                            TimePoint now) {
  refillAll(now);
  std::erase_if(teams,
                [&](const auto &it) { return !limits.contains(it.first); });
  for (const auto &[name, limit] : limits) {
    const auto [it, isNew] = teams.try_emplace(name);
    if (isNew)
      it->second.refilledAt = now;
    it->second.limit = limit;
  }
}

QuotaGrant QuotaKeeper::grant(const Address &node, const Need &need,
                              TimePoint now) {
  const auto found = teams.find(need.team);
  if (found == teams.end())
    return {};
  Team &team = found->second;
  refill(team, now);
  Outstanding &outstanding = team.outstanding[node];
  outstanding.tokens = need.held;
  const auto given = static_cast<unsigned>(
      std::min<double>(need.wanted, std::floor(team.tokens)));
  team.tokens -= given;
  outstanding.tokens += given;
  outstanding.until = now + quotaTimes::Token;
  QuotaGrant result{given, {}, share(now) >= LeastPart};
  if (given == need.wanted)
    return result;
  team.unmet += need.wanted - given;
  const double perSecond = share(now) * team.limit.callsPerSecond;
  const std::chrono::duration<double> wait(
      team.unmet / std::max(perSecond, LeastCallsPerSecond));
  result.wait = wait < MaxWait
                    ? std::chrono::ceil<std::chrono::milliseconds>(wait)
                    : MaxWait;
  return result;
}

void QuotaKeeper::clear() {
  pledges.clear();
  teams.clear();
}

} // namespace plantainhatch
