/** \file
 * Events in the operators' timeline. */
#ifndef PLANTAINHATCH_PROCESS_EVENT_H
#define PLANTAINHATCH_PROCESS_EVENT_H

#include "base/HybridClock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace plantainhatch {

/** Kinds of events; the order matches the names in toString(). */
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

/** A recorded event. Not changed once it is in the log. */
struct Event {
  HybridTime time;
  EventKind kind = EventKind::NodeStarted;
  /** The callers address of the node that recorded it. */
  std::string node;
  /** What the event concerns, such as an address, a failure domain or a
   * version. */
  std::string subject;
  /** Description for operators. */
  std::string detail;
  /** The cause, such as a version, an author, a message or a failure. */
  std::string cause;
};

} // namespace plantainhatch

#endif
