/** \file
 * Events as JSON. */
#ifndef PLANTAINHATCH_NODE_EVENTJSON_H
#define PLANTAINHATCH_NODE_EVENTJSON_H

#include "process/Event.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace plantainhatch {

/** An array of events in their order. Pure. */
nlohmann::json toJson(const std::vector<Event> &events);

} // namespace plantainhatch

#endif
