#include "connection/Frame.h"

#include "base/Time.h"
#include "connection/BufferBudget.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstring>

namespace plantainhatch {

namespace {

constexpr std::size_t PrefixBytes = sizeof(guint32);
/** Memory that is taken on the word of who has sent the length. */
constexpr std::size_t PieceBytes = 64UL * 1024;

/** One frame being read. */
struct ReadOperation {
  ReadOperation(GInputStream *from, FrameReader receiver)
      : stream(refGObject(from)), done(std::move(receiver)) {}

  GObjectPtr<GInputStream> stream;
  FrameReader done;
  guint32 prefix = 0;
  /** The length of the whole frame. */
  std::size_t length = 0;
  std::size_t read = 0;
  std::string payload;
  TimePoint startedAt;
  BufferCharge charge;
};

/** One frame being written. */
struct WriteOperation {
  FrameWriter done;
  std::string bytes;
};

/** Bytes that are asked for next. */
std::size_t nextPiece(const ReadOperation &operation) {
  return std::min(PieceBytes, operation.length - operation.read);
}

bool hasReadAll(GObject *source, GAsyncResult *result, std::size_t wanted) {
  gsize n = 0;
  return g_input_stream_read_all_finish(G_INPUT_STREAM(source), result, &n,
                                        nullptr) != FALSE &&
         n == wanted;
}

void readPiece(std::unique_ptr<ReadOperation> operation);

void onPiece(GObject *source, GAsyncResult *result, gpointer data) {
  std::unique_ptr<ReadOperation> operation(static_cast<ReadOperation *>(data));
  const std::size_t wanted = nextPiece(*operation);
  if (!hasReadAll(source, result, wanted)) {
    operation->done(std::nullopt);
    return;
  }
  operation->read += wanted;
  if (operation->read == operation->length)
    operation->done(std::move(operation->payload));
  else
    readPiece(std::move(operation));
}

void readPiece(std::unique_ptr<ReadOperation> operation) {
  const bool isOverdue =
      std::chrono::steady_clock::now() - operation->startedAt >= MaxFrameTime;
  if (isOverdue || BufferBudget::instance().isExhausted()) {
    operation->done(std::nullopt);
    return;
  }
  ReadOperation *const raw = operation.release();
  const std::size_t n = nextPiece(*raw);
  raw->payload.resize(raw->read + n);
  raw->charge.set(raw->payload);
  g_input_stream_read_all_async(raw->stream.get(),
                                raw->payload.data() + raw->read, n,
                                G_PRIORITY_DEFAULT, nullptr, onPiece, raw);
}

void onPrefix(GObject *source, GAsyncResult *result, gpointer data) {
  std::unique_ptr<ReadOperation> operation(static_cast<ReadOperation *>(data));
  const bool isWhole = hasReadAll(source, result, PrefixBytes);
  const guint32 n = g_ntohl(operation->prefix);
  if (!isWhole || n == 0 || n > MaxFrameBytes) {
    operation->done(std::nullopt);
    return;
  }
  operation->length = n;
  operation->startedAt = std::chrono::steady_clock::now();
  readPiece(std::move(operation));
}

void onWritten(GObject *source, GAsyncResult *result, gpointer data) {
  const std::unique_ptr<WriteOperation> operation(
      static_cast<WriteOperation *>(data));
  const bool isWritten =
      g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, nullptr,
                                       nullptr) != FALSE;
  operation->done(isWritten);
}

} // namespace

void readFrame(GInputStream *stream, FrameReader done) {
  auto *const operation = new ReadOperation(stream, std::move(done));
  g_input_stream_read_all_async(stream, &operation->prefix, PrefixBytes,
                                G_PRIORITY_DEFAULT, nullptr, onPrefix,
                                operation);
}

void writeFrame(GOutputStream *stream, const std::string &payload,
                FrameWriter done) {
  assert(payload.size() <= MaxFrameBytes && "the sender bounds its messages");
  const guint32 prefix = g_htonl(static_cast<guint32>(payload.size()));
  auto *const operation =
      new WriteOperation{std::move(done), std::string(PrefixBytes, '\0')};
  std::memcpy(operation->bytes.data(), &prefix, PrefixBytes);
  operation->bytes += payload;
  g_output_stream_write_all_async(stream, operation->bytes.data(),
                                  operation->bytes.size(), G_PRIORITY_DEFAULT,
                                  nullptr, onWritten, operation);
}

} // namespace plantainhatch
