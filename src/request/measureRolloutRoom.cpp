#include "request/measureRolloutRoom.h"

#include <ranges>

namespace plantainhatch {

RolloutRoom measureRolloutRoom(const RolloutRule &rule,
                               const Membership &membership,
                               const LoadTable &loads, TimePoint now) {
  RolloutRoom room;
  double formerCalls = 0;
  unsigned reports = 0;
  unsigned formers = 0;
  const auto add = [&](const Member &member) {
    const Target &target = member.target;
    if (!member.isCandidate() || target.service != rule.service)
      return;
    const LoadEstimate load = loads.estimate(member.peersAddress, 0, now);
    const bool isKnown = load.age < LoadTable::MaxReportAge;
    if (target.softwareVersion == rule.softwareVersion) {
      // Calls at these are few until they move, and go to few of them.
      room.calls += load.inFlight;
      if (member.liveness == Liveness::Alive)
        room.slots +=
            target.state == TargetState::Warm ? target.slots : target.coldSlots;
      return;
    }
    ++formers;
    reports += isKnown ? 1 : 0;
    formerCalls += isKnown ? load.inFlight : 0;
  };
  add(membership.self());
  for (const Member &member : membership.others() | std::views::values)
    add(member);
  if (reports > 0)
    room.calls += formerCalls * formers / reports;
  return room;
}

} // namespace plantainhatch
