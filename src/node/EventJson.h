/** \file
 * Converts events to JSON. */
#ifndef PLANTAINHATCH_NODE_EVENTJSON_H
#define PLANTAINHATCH_NODE_EVENTJSON_H

#include "process/Event.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace plantainhatch {

/** Returns a JSON array with one object for each event, in the same order.
 * Pure. */
nlohmann::json toJson(const std::vector<Event> &events);

} // namespace plantainhatch

#endif
