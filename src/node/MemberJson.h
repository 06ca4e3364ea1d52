/** \file
 * Converts members to JSON. */
#ifndef PLANTAINHATCH_NODE_MEMBERJSON_H
#define PLANTAINHATCH_NODE_MEMBERJSON_H

#include "process/Member.h"

#include <nlohmann/json_fwd.hpp>

namespace plantainhatch {

/** The JSON object that shows \p member on the status page. Pure. */
nlohmann::json toJson(const Member &member);

} // namespace plantainhatch

#endif
