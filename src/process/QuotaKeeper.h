/** \file
 * Counts the calls of teams for the whole fleet. */
#ifndef PLANTAINHATCH_PROCESS_QUOTAKEEPER_H
#define PLANTAINHATCH_PROCESS_QUOTAKEEPER_H

#include "process/QuotaPledge.h"

#include <cstdint>
#include <deque>
#include <map>

namespace plantainhatch {

struct QuotaSettings;

/** What all nodes together may pass on for a team: in any span of time, no more
 * than its part of callsPerSecond, and burst, and what the windows that it
 * touches allow. */
struct QuotaLimit {
  double callsPerSecond = 0;
  double burst = 0;
  /** Calls besides these in any span of this length; none if it is zero. A team
   * that sends unevenly needs them, but a new keeper has to wait for so long
   * before it can give them. */
  std::chrono::milliseconds window{0};
  double callsPerWindow = 0;

  /** What may be granted to a team so that it is not refused a call below \p
   * callsPerSecond and \p burst, and does not pass them by more than \p
   * settings allow. \param window the time over which calls are counted; zero
   * if any, then the limit holds for all. */
  static QuotaLimit within(double callsPerSecond, double burst,
                           const QuotaSettings &settings,
                           std::chrono::milliseconds window);
};

/** What a keeper gives a node for one team. */
struct QuotaGrant {
  /** Calls that the node may pass on. */
  unsigned tokens = 0;
  /** If the node got less than it asked for: when a call that comes back is
   * likely to find a token. */
  std::chrono::milliseconds wait{0};
  /** False if the keeper has less than half of the quotas, so that getting
   * nothing does not mean that the team is over its limit. */
  bool hasPart = false;
};

/** Hands out the quotas of a group of teams in tokens, one for a call. A keeper
 * has the parts of the nodes that have pledged theirs to it: of each quota it
 * mints so large a share. It counts what it handed out as kept until the node
 * says that it was used, or it has ended, and holds no more than its share of
 * the burst together with that. So in any span of time all nodes together pass
 * on no more than rate x span + burst, whoever keeps: the parts of all keepers
 * are at most one. What windows allow besides is counted as used until a window
 * has passed since the token ended, and is granted only for parts that the
 * keeper has had for as long, so that no keeper before it gave any. Time is an
 * argument. Not thread-safe. */
class QuotaKeeper {
public:
  /** The longest wait that is told. */
  static constexpr std::chrono::milliseconds MaxWait{10'000};

  /** The node at \p node has given its part, as this one asked at \p askedAt.
   * \param parts among how many nodes that one takes the quotas to be divided.
   */
  void onPledge(const Address &node, TimePoint askedAt, std::size_t parts,
                TimePoint now);

  /** Sets among how many nodes this one takes the quotas to be divided. */
  void setParts(std::size_t parts, TimePoint now);

  /** What a node asks for. */
  struct Need {
    /** A hash of the team's name. */
    std::uint64_t team = 0;
    unsigned wanted = 0;
    /** Tokens from earlier grants that the node has not used. */
    unsigned held = 0;
  };

  /** Sets the limits of the teams of this group, by the hashes of their names.
   * Nothing is granted to others. */
  void setLimits(const std::map<std::uint64_t, QuotaLimit> &limits,
                 TimePoint now);

  /** Grants tokens for one team. \pre Questions of one node come in the order
   * in which it asked. */
  QuotaGrant grant(const Address &node, const Need &need, TimePoint now);

  /** The share of all quotas that this keeper has, from 0 to 1. */
  double share(TimePoint now) const { return shareSince(now, now); }

  /** Drops all, as this process may not know how much time has passed. */
  void clear();

private:
  struct Outstanding {
    unsigned tokens = 0;
    TimePoint until;
  };
  /** Calls that were granted for a window. */
  struct WindowGrant {
    /** They count until then. */
    TimePoint until;
    unsigned tokens = 0;
  };
  struct Team {
    QuotaLimit limit;
    double tokens = 0;
    TimePoint refilledAt;
    std::map<Address, Outstanding> outstanding;
    std::deque<WindowGrant> windowGrants;
    unsigned inWindow = 0;
    /** Calls that were turned away and are likely to come back. */
    double unmet = 0;
  };
  struct Pledge {
    /** It has been given anew until now since then. */
    TimePoint since;
    TimePoint until;
    std::size_t parts = 0;
  };

  std::map<Address, Pledge> pledges;
  std::map<std::uint64_t, Team> teams;
  std::size_t ownParts = 1;

  /** \return the share of the quotas that was given at \p since or before. */
  double shareSince(TimePoint since, TimePoint now) const;
  void refillAll(TimePoint now);
  /** Takes up to \p wanted tokens from what windows allow. */
  unsigned grantOfWindow(Team &team, unsigned wanted, TimePoint now);
  void refill(Team &team, TimePoint now);
  static void dropEnded(Team &team, TimePoint now);
  static double outstandingOf(Team &team, TimePoint now);
};

} // namespace plantainhatch

#endif
