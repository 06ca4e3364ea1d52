/** \file
 * Where the answer to a call is read from. */
#ifndef PLANTAINHATCH_CONNECTION_ANSWERSOURCE_H
#define PLANTAINHATCH_CONNECTION_ANSWERSOURCE_H

#include "connection/GObjectPtr.h"
#include "request/CallRequest.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <functional>
#include <optional>
#include <variant>

namespace plantainhatch {

/** Status and headers of an answer. */
struct AnswerHead {
  unsigned status = 0;
  HeaderList headers;
  /** The length of the body, if the answer has said it. */
  std::optional<std::uint64_t> contentLength;
};

/** The whole body has been read. */
struct BodyEnd {};

/** The body broke off: the answer is not whole and must not be ended cleanly.
 */
struct BodyBroken {};

/** A part of the body, its end, or its failure. */
using Chunk = std::variant<GBytesPtr, BodyEnd, BodyBroken>;

/** The body of an answer, read chunk by chunk at the pace of the reader, so
 * that memory stays flat whatever its length. Used on the main loop only. */
class AnswerSource
    : public boost::intrusive_ref_counter<AnswerSource,
                                          boost::thread_unsafe_counter> {
public:
  using ChunkReceiver = std::function<void(Chunk)>;

  AnswerSource() = default;
  virtual ~AnswerSource() = default;
  AnswerSource(const AnswerSource &) = delete;
  AnswerSource &operator=(const AnswerSource &) = delete;
  AnswerSource(AnswerSource &&) = delete;
  AnswerSource &operator=(AnswerSource &&) = delete;

  /** Reads the next chunk. \pre The head has come, no read is under way, and
   * neither the end nor a failure was returned before. */
  virtual void read(ChunkReceiver receiver) = 0;

  /** Gives up. The connection is not used again, so that a late answer can meet
   * no other call. No receiver is called afterwards. */
  virtual void cancel() = 0;
};

/** A shared source. */
using AnswerSourcePtr = boost::intrusive_ptr<AnswerSource>;

} // namespace plantainhatch

#endif
