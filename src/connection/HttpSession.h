/** \file
 * The HTTP client of a process. */
#ifndef PLANTAINHATCH_CONNECTION_HTTPSESSION_H
#define PLANTAINHATCH_CONNECTION_HTTPSESSION_H

#include "connection/GObjectPtr.h"

#include <libsoup/soup.h>

namespace plantainhatch {

/** Makes a session that adds nothing to requests and takes nothing from
 * answers: no proxy, no redirects of its own, no decoding, no cookies. Times
 * are bounded by those who use it. */
GObjectPtr<SoupSession> makeHttpSession();

} // namespace plantainhatch

#endif
