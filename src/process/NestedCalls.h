/** \file
 * Tells which calls the local target makes while it runs others. */
#ifndef PLANTAINHATCH_PROCESS_NESTEDCALLS_H
#define PLANTAINHATCH_PROCESS_NESTEDCALLS_H

#include <cstddef>
#include <map>
#include <string>

namespace plantainhatch {

/** What the local target is working on. */
struct TargetRuns {
  /** Calls that it runs. */
  std::size_t all = 0;
  /** Those among them that another target may have run before. */
  std::size_t repeats = 0;
};

/** Infers which rules the local target calls, where its calls carry nothing
 * that names the run they belong to. A target calls only while it runs
 * something; the calls of others come at any time. So the calls of a rule are
 * taken for the target's own until some come while it is idle. A target that is
 * never idle may have the calls of others taken for its own. Not thread-safe.
 */
class NestedCalls {
public:
  /** The calls of more rules are not told apart, and are taken for those of
   * others. */
  static constexpr std::size_t MaxRules = 256;

  /** A call by \p rule for \p service has come to this node.
   * \return the share of it that runs which are repeats have to answer for,
   * from 0 to 1: if the target made the call, that of the repeats among its
   * runs. */
  double onCall(const std::string &rule, const std::string &service,
                const TargetRuns &runs);

  /** True if the calls of \p rule are the target's own. */
  bool isNested(const std::string &rule) const;

  /** Calls \p action with the service that each nested rule's last call was
   * for. */
  template <typename Action> void forEachService(Action action) const {
    for (const auto &[name, rule] : rules)
      if (rule.isNested())
        action(rule.service);
  }

private:
  struct Rule {
    std::string service;
    unsigned calls = 0;
    unsigned callsAtIdleTarget = 0;

    /** A few calls may come from runs that a former process of this node has
     * begun. */
    bool isNested() const {
      constexpr unsigned LeastPartAtIdle = 20;
      return calls > 0 && callsAtIdleTarget * LeastPartAtIdle <= calls;
    }
  };

  std::map<std::string, Rule> rules;
};

} // namespace plantainhatch

#endif
