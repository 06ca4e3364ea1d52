#include "soak/SoakPlan.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <random>

namespace plantainhatch::test {

namespace {

using std::chrono::milliseconds;

struct KindTraits {
  FaultKind kind;
  std::string_view name;
  milliseconds shortest;
  milliseconds longest;
  bool isPlanned = false;
};

constexpr std::array Kinds{
    KindTraits{FaultKind::KillNode, "kill-node", milliseconds(20),
               milliseconds(1'500)},
    KindTraits{FaultKind::StopNode, "stop-node", milliseconds(20),
               milliseconds(1'000), true},
    KindTraits{FaultKind::FreezeNode, "freeze-node", milliseconds(100),
               milliseconds(4'000)},
    KindTraits{FaultKind::ReloadNode, "reload-node", milliseconds(1),
               milliseconds(2), true},
    KindTraits{FaultKind::StoreDown, "store-down", milliseconds(200),
               milliseconds(5'000)},
    KindTraits{FaultKind::StoreSlow, "store-slow", milliseconds(500),
               milliseconds(4'000)},
    KindTraits{FaultKind::StoreLosesAnswers, "store-loses-answers",
               milliseconds(200), milliseconds(2'000)},
    KindTraits{FaultKind::StoreLinkHeld, "store-link-held", milliseconds(500),
               milliseconds(5'000)},
    KindTraits{FaultKind::StoreLinkOneWay, "store-link-one-way",
               milliseconds(500), milliseconds(4'000)},
    KindTraits{FaultKind::StoreLinkReset, "store-link-reset", milliseconds(1),
               milliseconds(2)},
    KindTraits{FaultKind::StoreLinkSilent, "store-link-silent", milliseconds(1),
               milliseconds(2)},
    KindTraits{FaultKind::TargetLinkReset, "target-link-reset", milliseconds(1),
               milliseconds(2)},
    KindTraits{FaultKind::TargetLinkSilent, "target-link-silent",
               milliseconds(1), milliseconds(2)},
    KindTraits{FaultKind::TargetLinkDelay, "target-link-delay",
               milliseconds(200), milliseconds(2'000)},
    KindTraits{FaultKind::TargetLinkOneWay, "target-link-one-way",
               milliseconds(200), milliseconds(2'000)},
    KindTraits{FaultKind::TargetFails, "target-fails", milliseconds(200),
               milliseconds(2'000)},
    KindTraits{FaultKind::TargetAnswersForeign, "target-answers-foreign",
               milliseconds(200), milliseconds(2'000)},
    KindTraits{FaultKind::TargetAnswersUnsigned, "target-answers-unsigned",
               milliseconds(200), milliseconds(2'000)},
    KindTraits{FaultKind::TargetBreaksOff, "target-breaks-off",
               milliseconds(200), milliseconds(2'000)},
    KindTraits{FaultKind::TargetSheds, "target-sheds", milliseconds(200),
               milliseconds(2'000)},
    KindTraits{FaultKind::TargetHolds, "target-holds", milliseconds(100),
               milliseconds(1'200)},
    KindTraits{FaultKind::TargetCrashes, "target-crashes", milliseconds(200),
               milliseconds(1'500)},
    KindTraits{FaultKind::TargetIsReplaced, "target-is-replaced",
               milliseconds(2'200), milliseconds(3'500), true},
    KindTraits{FaultKind::DomainOut, "domain-out", milliseconds(3'000),
               milliseconds(9'000), true},
    KindTraits{FaultKind::StoreSetBack, "store-set-back", milliseconds(300),
               milliseconds(3'000)},
    KindTraits{FaultKind::ChangeConfiguration, "change-configuration",
               milliseconds(1), milliseconds(2), true}};

const KindTraits &traitsOf(FaultKind kind) {
  return *std::ranges::find(Kinds, kind, &KindTraits::kind);
}

/** The share of a run in which faults begin. */
constexpr double StruckShare = 0.8;
/** Mean pause between series of faults. */
constexpr double MeanPauseMs = 700;
/** Another fault follows in the same series with this chance. */
constexpr double SeriesChance = 0.45;
constexpr double SeriesGapMs = 150;

/** True for what leaves a node and its link to the store alone, but for planned
 * work. */
bool sparesNodes(const KindTraits &traits) {
  return traits.isPlanned || traits.kind >= FaultKind::TargetLinkReset;
}

/** The kinds that \p seed draws from. */
std::vector<KindTraits> kindsOf(std::uint64_t seed) {
  std::vector<KindTraits> kinds(Kinds.begin(), Kinds.end());
  // Drawn apart, so that the seeds that have failed keep their plans.
  std::erase_if(kinds, [](const KindTraits &it) {
    return it.kind == FaultKind::StoreSetBack;
  });
  if (seed % 2 == 1)
    return kinds;
  std::erase_if(kinds, [](const KindTraits &it) { return !sparesNodes(it); });
  for (KindTraits &it : kinds)
    if (it.isPlanned)
      it.shortest = std::midpoint(it.shortest.count(), it.longest.count()) *
                    milliseconds(1);
  return kinds;
}

/** Adds one return to a copy before \p end. */
void addSetBack(std::uint64_t seed, std::size_t machines, Duration end,
                std::vector<FaultStep> &plan) {
  const KindTraits &traits = traitsOf(FaultKind::StoreSetBack);
  std::mt19937_64 random(~seed);
  std::uniform_int_distribution<Duration::rep> atOf(0, end.count() / 2);
  std::uniform_int_distribution<milliseconds::rep> lengthOf(
      traits.shortest.count(), traits.longest.count());
  const Duration at(atOf(random));
  const Duration until =
      std::min<Duration>(at + milliseconds(lengthOf(random)), end);
  const FaultStep step{traits.kind, at, until - at, random() % machines};
  plan.insert(std::ranges::upper_bound(plan, at, {}, &FaultStep::at), step);
}

} // namespace

std::string_view toString(FaultKind kind) { return traitsOf(kind).name; }

bool isPlanned(FaultKind kind) { return traitsOf(kind).isPlanned; }

std::vector<FaultStep> drawPlan(std::uint64_t seed, std::size_t machines,
                                Duration length) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> pause(1 / MeanPauseMs);
  std::exponential_distribution<double> gap(1 / SeriesGapMs);
  std::bernoulli_distribution hasNext(SeriesChance);
  const std::vector<KindTraits> kinds = kindsOf(seed);
  std::uniform_int_distribution<std::size_t> kindOf(0, kinds.size() - 1);
  std::uniform_int_distribution<std::size_t> machineOf(0, machines - 1);
  const auto draw = [&](auto &distribution) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(distribution(random)));
  };
  const Duration end = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(length) * StruckShare);
  std::vector<FaultStep> plan;
  for (Duration at = draw(pause); at < end;) {
    const KindTraits &traits = kinds.at(kindOf(random));
    std::uniform_int_distribution<milliseconds::rep> lengthOf(
        traits.shortest.count(), traits.longest.count());
    const Duration until =
        std::min<Duration>(at + milliseconds(lengthOf(random)), end);
    plan.push_back({traits.kind, at, until - at, machineOf(random)});
    at += hasNext(random) ? draw(gap) : draw(pause);
  }
  constexpr std::uint64_t SetBackEvery = 3;
  if (seed % SetBackEvery == 1)
    addSetBack(seed, machines, end, plan);
  return plan;
}

} // namespace plantainhatch::test
