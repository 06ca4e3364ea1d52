/** \file
 * What nodes tell one another about a roll-out. */
#ifndef PLANTAINHATCH_PROCESS_ROLLOUTPHASE_H
#define PLANTAINHATCH_PROCESS_ROLLOUTPHASE_H

#include <cstdint>
#include <string>

namespace plantainhatch {

/** How far a roll-out is. A later enumerator overrides an earlier one.
 * RolledBack is in force before the store has it; Completed only once the store
 * has acknowledged it, so that it overrides all others. */
enum class RolloutPhase : std::uint8_t {
  /** Nothing is known: the ordered version gets no calls. */
  Unknown,
  /** The ordered version gets a small share. */
  Running,
  /** The ordered version was found good and gets all calls that it can take. */
  Moving,
  /** The ordered version gets no calls any more. */
  RolledBack,
  /** The former versions get no calls any more. */
  Completed
};

/** Answers since the order to the calls of one rule, as one process has seen
 * them. */
struct RolloutCount {
  std::string rule;
  /** True for answers of the ordered version, false for those of others. */
  bool isOrdered = false;
  std::uint32_t answers = 0;
  /** Those of them that were failures, or came later than the rule's target
   * latency. */
  std::uint32_t bad = 0;

  bool operator==(const RolloutCount &) const = default;

  /** Serialization hook. */
  template <typename Archive> void serialize(Archive &archive) {
    archive(rule, isOrdered, answers, bad);
  }
};

} // namespace plantainhatch

#endif
