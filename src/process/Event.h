/** \file
 * One event on the time line. */
#ifndef PLANTAINHATCH_PROCESS_EVENT_H
#define PLANTAINHATCH_PROCESS_EVENT_H

#include "base/HybridClock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace plantainhatch {

/** What happened. */
enum class EventKind : std::uint8_t {
  NodeStarted,
  NodeStopping,
  MemberJoined,
  MemberSuspected,
  MemberDead,
  MemberLeft,
  MemberReturned,
  ConfigurationAdopted,
  ConfigurationRepaired,
  ConfigurationConflict,
  DomainOut,
  DomainIn,
  VmOut,
  VmIn,
  TargetAnnounced,
  TargetLeaving,
  TargetLost,
  LimitCut,
  CallsRefused,
  CallsFailed,
  RequestQuarantined,
  RequestCleared,
  StoreDown,
  StoreUp,
  PauseSeen
};

/** The name of a kind in output, such as "configuration-adopted". */
std::string_view toString(EventKind kind);

/** A typed event with its cause. Immutable once recorded. */
struct Event {
  HybridTime time;
  EventKind kind = EventKind::NodeStarted;
  /** The callers address of the node where it happened. */
  std::string node;
  /** What it is about: an address, a failure domain, a version. */
  std::string subject;
  /** What happened, for people. */
  std::string detail;
  /** Why: the version, the author, the message or the failure that brought it
   * about. */
  std::string cause;
};

} // namespace plantainhatch

#endif
