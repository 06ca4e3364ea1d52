/** \file
 * Reads what targets say of themselves. */
#ifndef PLANTAINHATCH_NODE_PARSEANNOUNCEMENT_H
#define PLANTAINHATCH_NODE_PARSEANNOUNCEMENT_H

#include "base/Finding.h"
#include "process/Member.h"

#include <string>

namespace plantainhatch {

/** Reads the body of an announcement. \return the target, or every fault with
 * its field. Pure. */
Checked<Target> parseAnnouncement(const std::string &body);

/** Reads the body of a leave message. \return the bootId. Pure. */
Checked<std::string> parseLeave(const std::string &body);

} // namespace plantainhatch

#endif
