/** \file
 * The way of one request through the logs of many processes. */
#ifndef PLANTAINHATCH_OPERATOR_EXPLAINREQUEST_H
#define PLANTAINHATCH_OPERATOR_EXPLAINREQUEST_H

#include "operator/runCommand.h"

#include <istream>
#include <string>
#include <vector>

namespace plantainhatch {

/** Prints the lines about \p requestId in the order of their times, and before
 * them what the same nodes came to believe in the seconds before. Lines that
 * are not JSON objects are passed over, as logs also hold other text. */
CommandResult explainRequest(const std::string &requestId,
                             const std::vector<std::istream *> &logs);

} // namespace plantainhatch

#endif
