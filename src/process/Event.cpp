#include "process/Event.h"

#include <array>

namespace plantainhatch {

std::string_view toString(EventKind kind) {
  static constexpr std::array<std::string_view, 25> Names{
      "node-started",
      "node-stopping",
      "member-joined",
      "member-suspected",
      "member-dead",
      "member-left",
      "member-returned",
      "configuration-adopted",
      "configuration-repaired",
      "configuration-conflict",
      "domain-out",
      "domain-in",
      "vm-out",
      "vm-in",
      "target-announced",
      "target-leaving",
      "target-lost",
      "limit-cut",
      "calls-refused",
      "calls-failed",
      "request-quarantined",
      "request-cleared",
      "store-down",
      "store-up",
      "pause-seen"};
  return Names.at(static_cast<std::size_t>(kind));
}

} // namespace plantainhatch
