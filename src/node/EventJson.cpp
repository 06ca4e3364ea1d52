#include "node/EventJson.h"

#include <nlohmann/json.hpp>

namespace plantainhatch {

nlohmann::json toJson(const std::vector<Event> &events) {
  nlohmann::json list = nlohmann::json::array();
  for (const Event &event : events)
    list.push_back(
        {{"time", event.time.toString()},
         {"wallMs", event.time.wallTime().time_since_epoch().count()},
         {"kind", toString(event.kind)},
         {"node", event.node},
         {"subject", event.subject},
         {"detail", event.detail},
         {"cause", event.cause}});
  return list;
}

} // namespace plantainhatch
