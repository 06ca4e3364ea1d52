#include "process/QuotaKeeper.h"

#include "base/Settings.h"

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

/** Of what calls may pass a quota by, what is granted. The rest is for calls
 * that come to their targets later than others. */
constexpr double GrantedOverage = 0.5;
constexpr double GrantedSlack = 0.75;
constexpr double Half = 0.5;
/** Of what calls may pass a quota by in a window, what is granted as a burst
 * besides tokens that are out. */
constexpr double BurstOfBeyond = 0.25;

double secondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

/** Calls of a team that always wants more than it gets. */
double perSecondOf(const QuotaLimit &limit) {
  if (limit.window == std::chrono::milliseconds(0))
    return limit.callsPerSecond;
  return limit.callsPerSecond +
         limit.callsPerWindow /
             std::chrono::duration<double>(limit.window).count();
}

} // namespace

QuotaLimit QuotaLimit::within(double callsPerSecond, double burst,
                              const QuotaSettings &settings,
                              std::chrono::milliseconds window) {
  const double perSecond =
      callsPerSecond * (1 + settings.overage * GrantedOverage);
  const double leastBurst = std::max(burst, 1.0);
  if (window == std::chrono::milliseconds(0))
    return {perSecond,
            leastBurst * (1 + settings.overage) + settings.slack * GrantedSlack,
            {},
            0};
  const double span = std::chrono::duration<double>(window).count();
  const double allowed = callsPerSecond * span + leastBurst;
  const double beyond = allowed * settings.overage * GrantedOverage +
                        settings.slack * GrantedSlack;
  QuotaLimit limit{std::min(perSecond, callsPerSecond * Half + beyond / span),
                   beyond * BurstOfBeyond, window, 0};
  limit.burst += limit.callsPerSecond *
                 std::chrono::duration<double>(quotaTimes::Token).count();
  limit.callsPerWindow =
      allowed + beyond - limit.callsPerSecond * span - limit.burst;
  return limit;
}

void QuotaKeeper::onPledge(const Address &node, TimePoint askedAt,
                           std::size_t parts, TimePoint now) {
  const TimePoint until = askedAt + quotaTimes::Pledge;
  if (until <= now)
    return;
  // Until now, the part may have been another keeper's.
  refillAll(now);
  Pledge &pledge =
      pledges.try_emplace(node, Pledge{now, until, parts}).first->second;
  pledge.until = std::max(pledge.until, until);
  pledge.parts = parts;
}

void QuotaKeeper::setParts(std::size_t parts, TimePoint now) {
  if (parts == ownParts)
    return;
  refillAll(now);
  ownParts = parts;
}

double QuotaKeeper::shareSince(TimePoint since, TimePoint now) const {
  std::size_t valid = 0;
  std::size_t parts = std::max<std::size_t>(ownParts, 1);
  for (const Pledge &it : pledges | std::views::values)
    if (now < it.until) {
      valid += it.since <= since ? 1 : 0;
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
  const double seconds = secondsBetween(team.refilledAt, now);
  const double minted = part * team.limit.callsPerSecond * seconds;
  team.refilledAt = now;
  team.unmet =
      std::max(0.0, team.unmet - part * perSecondOf(team.limit) * seconds);
  const double most =
      std::max(0.0, part * team.limit.burst - outstandingOf(team, now));
  team.tokens = std::min(team.tokens + minted, most);
}

void QuotaKeeper::setLimits(const std::map<std::uint64_t, QuotaLimit> &limits,
                            TimePoint now) {
  refillAll(now);
  // What was granted for a window still counts if the team comes back.
  for (auto &[name, team] : teams)
    if (!limits.contains(name)) {
      team.limit = {};
      dropEnded(team, now);
    }
  std::erase_if(teams, [&](const auto &it) {
    return !limits.contains(it.first) && it.second.windowGrants.empty();
  });
  for (const auto &[name, limit] : limits) {
    const auto [it, isNew] = teams.try_emplace(name);
    if (isNew)
      it->second.refilledAt = now;
    it->second.limit = limit;
  }
}

void QuotaKeeper::dropEnded(Team &team, TimePoint now) {
  while (!team.windowGrants.empty() && team.windowGrants.front().until <= now) {
    team.inWindow -= team.windowGrants.front().tokens;
    team.windowGrants.pop_front();
  }
}

unsigned QuotaKeeper::grantOfWindow(Team &team, unsigned wanted,
                                    TimePoint now) {
  dropEnded(team, now);
  const std::chrono::milliseconds counted =
      team.limit.window + quotaTimes::Token;
  const double left =
      std::floor(shareSince(now - counted, now) * team.limit.callsPerWindow) -
      team.inWindow;
  if (wanted == 0 || left < 1)
    return 0;
  const auto given = static_cast<unsigned>(std::min<double>(wanted, left));
  team.windowGrants.push_back({now + counted, given});
  team.inWindow += given;
  return given;
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
  const auto minted = static_cast<unsigned>(
      std::min<double>(need.wanted, std::floor(team.tokens)));
  team.tokens -= minted;
  outstanding.tokens += minted;
  outstanding.until = now + quotaTimes::Token;
  const unsigned given =
      minted + grantOfWindow(team, need.wanted - minted, now);
  QuotaGrant result{given, {}, share(now) >= LeastPart};
  if (given == need.wanted)
    return result;
  // Calls that are not turned away go on to ask.
  if (result.hasPart)
    team.unmet += need.wanted - given;
  const double perSecond = share(now) * perSecondOf(team.limit);
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
