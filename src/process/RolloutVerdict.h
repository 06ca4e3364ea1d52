/** \file
 * Judges the version that a roll-out moves a service to. */
#ifndef PLANTAINHATCH_PROCESS_ROLLOUTVERDICT_H
#define PLANTAINHATCH_PROCESS_ROLLOUTVERDICT_H

#include "base/Address.h"
#include "process/RolloutPhase.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace plantainhatch {

/** Compares the answers of the ordered version with those of the others, for
 * each rule and for all together. What counts is a cumulative sum of the bad
 * answers beyond those to be expected, which cannot fall below zero: a version
 * that turns bad late is found as soon as one that always was. Not
 * thread-safe. */
class RolloutVerdict {
public:
  /** The ordered version may have this many times the bad answers of the
   * others, and this share of its answers besides. */
  static constexpr double AllowedFactor = 1.5;
  static constexpr double AllowedShare = 0.05;
  /** Bad answers beyond the expected ones that show that it is bad. */
  static constexpr double MaxExcess = 6;
  /** What is left by a call of judge() of the former answers of the others. */
  static constexpr double Fading = 0.5;
  /** Answers without a fault that the others are assumed to have had, so that
   * the first bad one does not make many of them expected. */
  static constexpr double AssumedAnswers = 5;

  /** Why the version is bad. */
  struct Fault {
    /** Empty if it was found over all rules together. */
    std::string rule;
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
    /** Share of bad answers that was expected at most when it was found. */
    double expected = 0;
  };

  /** Takes in the sums of one process; only those that have grown count.
   * \param generation that of the process at \p node. */
  void add(const Address &node, std::uint64_t generation,
           const std::vector<RolloutCount> &counts);

  /** Judges what came since the last call, and lets former answers of the
   * others count less. Call at equal intervals: only once most nodes have told
   * theirs, trouble that all versions have shows as such. */
  void judge();

  /** The first fault that was found; it stays. */
  const std::optional<Fault> &fault() const { return found; }
  /** Answers of the ordered version so far. */
  std::uint64_t orderedAnswers() const { return total.answers; }

private:
  struct Sum {
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;
    double excess = 0;
  };
  struct Rate {
    double answers = 0;
    double bad = 0;
  };
  using Source = std::tuple<Address, std::uint64_t, std::string, bool>;

  std::map<Source, RolloutCount> known;
  std::map<std::string, Rate> others;
  std::map<std::string, Sum> ordered;
  /** Answers of the ordered version that are yet to be judged. */
  std::map<std::string, RolloutCount> pending;
  Sum total;
  std::optional<Fault> found;

  /** What \p count has more than the sums known from its process. */
  RolloutCount takeGrowth(const Address &node, std::uint64_t generation,
                          const RolloutCount &count);
  void judge(const RolloutCount &growth);
  void judge(const std::string &rule, Sum &sum, const RolloutCount &growth,
             double expected);
};

} // namespace plantainhatch

#endif
