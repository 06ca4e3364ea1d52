/** \file
 * The HTTP client of a process. */
#ifndef PLANTAINHATCH_CONNECTION_SOUPSESSION_H
#define PLANTAINHATCH_CONNECTION_SOUPSESSION_H

#include "connection/GObjectPtr.h"

#include <libsoup/soup.h>

namespace plantainhatch {

/** Makes a session that adds nothing to requests and takes nothing from
 * answers: no proxy, no redirects of its own, no decoding, no cookies. Times
 * are bounded by those who use it. */
GObjectPtr<SoupSession> makeSoupSession();

/** Keeps the library from sending a message twice. It would send an idempotent
 * request again without a word when a kept-alive connection dies before the
 * answer, and then without the body. Instead the message is cancelled.
 * \pre Both live until the message has ended. */
void preventHiddenResend(SoupMessage *message, GCancellable *cancellable);

} // namespace plantainhatch

#endif
