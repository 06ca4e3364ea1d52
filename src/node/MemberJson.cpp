#include "node/MemberJson.h"

#include <nlohmann/json.hpp>

namespace plantainhatch {

nlohmann::json toJson(const Member &member) {
  return {{"peers", member.peersAddress.toString()},
          {"callers", member.callersAddress.toString()},
          {"failureDomain", member.failureDomain},
          {"liveness", toString(member.liveness)},
          {"generation", member.generation},
          {"incarnation", member.incarnation},
          {"service", member.target.service},
          {"target", member.target.state == TargetState::Absent
                         ? std::string()
                         : member.target.address.toString()},
          {"targetState", toString(member.target.state)},
          {"slots", member.target.slots}};
}

} // namespace plantainhatch
