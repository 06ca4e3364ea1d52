/** \file
 * Which faults strike when, drawn from a seed. */
#ifndef PLANTAINHATCH_TEST_SOAK_SOAKPLAN_H
#define PLANTAINHATCH_TEST_SOAK_SOAKPLAN_H

#include "base/Time.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace plantainhatch::test {

/** What can befall a fleet. */
enum class FaultKind : std::uint8_t {
  KillNode,
  StopNode,
  FreezeNode,
  ReloadNode,
  StoreDown,
  StoreSlow,
  StoreLosesAnswers,
  StoreLinkHeld,
  StoreLinkOneWay,
  StoreLinkReset,
  StoreLinkSilent,
  TargetLinkReset,
  TargetLinkSilent,
  TargetLinkDelay,
  TargetLinkOneWay,
  TargetFails,
  TargetAnswersForeign,
  TargetAnswersUnsigned,
  TargetBreaksOff,
  TargetSheds,
  TargetHolds,
  TargetCrashes,
  TargetIsReplaced,
  DomainOut,
  /** The store goes back to a copy that was taken when the fault began. */
  StoreSetBack,
  ChangeConfiguration
};

/** The name of a kind in reports, such as "kill-node". */
std::string_view toString(FaultKind kind);

/** True for work that operators plan, which must harm nobody. */
bool isPlanned(FaultKind kind);

/** One fault. */
struct FaultStep {
  FaultKind kind = FaultKind::KillNode;
  /** From the start of the load. */
  Duration at{};
  /** How long it lasts; the pause until the restart of what ended. */
  Duration length{};
  std::size_t machine = 0;
};

/** The faults of one run, by their time. They come in series and overlap; the
 * last fifth of the run is left without any, so that recovery can be seen. Odd
 * seeds draw from all kinds. Even ones leave the store and the nodes alone but
 * for planned work, which lasts longer: promises that bind only nodes in touch
 * with the store are tested there. Each third seed, of either sort, sets the
 * store back once besides. Equal arguments give equal plans. \pre \p
 * machines is not 0. */
std::vector<FaultStep> drawPlan(std::uint64_t seed, std::size_t machines,
                                Duration length);

} // namespace plantainhatch::test

#endif
