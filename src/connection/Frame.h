/** \file
 * Length-prefixed frames on a stream. */
#ifndef PLANTAINHATCH_CONNECTION_FRAME_H
#define PLANTAINHATCH_CONNECTION_FRAME_H

#include "connection/GObjectPtr.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace plantainhatch {

/** A frame that is longer is refused and its connection closed. Twice the
 * longest text in a message. */
inline constexpr std::uint32_t MaxFrameBytes = 4 * 1024 * 1024;
/** How long a frame may take to arrive, from its length on. */
inline constexpr std::chrono::seconds MaxFrameTime{10};

/** Called with the frame, or with nothing when the stream has ended or failed.
 */
using FrameReader = std::function<void(std::optional<std::string>)>;
/** Called with whether all was written. */
using FrameWriter = std::function<void(bool)>;

/** Reads one frame. Memory is taken as its bytes come, and none while the
 * buffers of this process are full. The stream is kept alive until \p done was
 * called. */
void readFrame(GInputStream *stream, FrameReader done);

/** Writes one frame. The stream is kept alive until \p done was called.
 * \pre \p payload is not longer than MaxFrameBytes. */
void writeFrame(GOutputStream *stream, const std::string &payload,
                FrameWriter done);

} // namespace plantainhatch

#endif
