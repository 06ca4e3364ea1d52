/** \file
 * Parses the messages by which targets announce themselves and leave. */
#ifndef PLANTAINHATCH_NODE_PARSEANNOUNCEMENT_H
#define PLANTAINHATCH_NODE_PARSEANNOUNCEMENT_H

#include "base/Finding.h"
#include "process/Member.h"

#include <string>

namespace plantainhatch {

/** Parses the JSON body of an announcement. \return the target, or a finding
 * for each invalid field. Pure. */
Checked<Target> parseAnnouncement(const std::string &body);

/** Parses the JSON body of a leave message. \return the boot ID, or findings.
 * Pure. */
Checked<std::string> parseLeave(const std::string &body);

} // namespace plantainhatch

#endif
