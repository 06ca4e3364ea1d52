#include "process/RolloutVerdict.h"

#include <algorithm>
#include <ranges>

namespace plantainhatch {

void RolloutVerdict::add(const Address &node, std::uint64_t generation,
                         const std::vector<RolloutCount> &counts) {
  for (const RolloutCount &it : counts) {
    const RolloutCount growth = takeGrowth(node, generation, it);
    if (growth.answers == 0)
      continue;
    if (growth.isOrdered) {
      RolloutCount &count = pending[growth.rule];
      count.rule = growth.rule;
      count.answers += growth.answers;
      count.bad += growth.bad;
      continue;
    }
    Rate &rate = others[growth.rule];
    rate.answers += growth.answers;
    rate.bad += growth.bad;
  }
}

void RolloutVerdict::judge() {
  for (const RolloutCount &it : pending | std::views::values)
    judge(it);
  pending.clear();
  for (Rate &it : others | std::views::values) {
    it.answers *= Fading;
    it.bad *= Fading;
  }
}

RolloutCount RolloutVerdict::takeGrowth(const Address &node,
                                        std::uint64_t generation,
                                        const RolloutCount &count) {
  RolloutCount &before =
      known[Source(node, generation, count.rule, count.isOrdered)];
  RolloutCount growth = count;
  // A message that was overtaken has smaller sums.
  if (count.answers <= before.answers || count.bad < before.bad) {
    growth.answers = 0;
    return growth;
  }
  growth.answers -= before.answers;
  growth.bad -= before.bad;
  before = count;
  return growth;
}

void RolloutVerdict::judge(const RolloutCount &growth) {
  const Rate &rate = others[growth.rule];
  const double share = rate.bad / (rate.answers + AssumedAnswers);
  const double expected = std::min(1.0, share * AllowedFactor + AllowedShare);
  judge(growth.rule, ordered[growth.rule], growth, expected);
  judge({}, total, growth, expected);
}

void RolloutVerdict::judge(const std::string &rule, Sum &sum,
                           const RolloutCount &growth, double expected) {
  sum.answers += growth.answers;
  sum.bad += growth.bad;
  sum.excess =
      std::max(0.0, sum.excess + growth.bad -
                        static_cast<double>(growth.answers) * expected);
  if (!found && sum.excess >= MaxExcess)
    found = Fault{rule, sum.answers, sum.bad, expected};
}

} // namespace plantainhatch
