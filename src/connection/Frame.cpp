#include "connection/Frame.h"

#include <array>
#include <cassert>
#include <cstring>

namespace plantainhatch {

namespace {

constexpr std::size_t PrefixBytes = sizeof(guint32);

/** One frame being read. */
struct ReadOperation {
  GObjectPtr<GInputStream> stream;
  FrameReader done;
  guint32 prefix = 0;
  std::string payload;
};

/** One frame being written. */
struct WriteOperation {
  FrameWriter done;
  std::string bytes;
};

bool hasReadAll(GObject *source, GAsyncResult *result, std::size_t wanted) {
  gsize n = 0;
  return g_input_stream_read_all_finish(G_INPUT_STREAM(source), result, &n,
                                        nullptr) != FALSE &&
         n == wanted;
}

void onPayload(GObject *source, GAsyncResult *result, gpointer data) {
  const std::unique_ptr<ReadOperation> operation(
      static_cast<ReadOperation *>(data));
  if (hasReadAll(source, result, operation->payload.size()))
    operation->done(std::move(operation->payload));
  else
    operation->done(std::nullopt);
}

void onPrefix(GObject *source, GAsyncResult *result, gpointer data) {
  std::unique_ptr<ReadOperation> operation(static_cast<ReadOperation *>(data));
  const bool isWhole = hasReadAll(source, result, PrefixBytes);
  const guint32 n = g_ntohl(operation->prefix);
  if (!isWhole || n == 0 || n > MaxFrameBytes) {
    operation->done(std::nullopt);
    return;
  }
  operation->payload.resize(n);
  ReadOperation *const raw = operation.release();
  g_input_stream_read_all_async(raw->stream.get(), raw->payload.data(), n,
                                G_PRIORITY_DEFAULT, nullptr, onPayload, raw);
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
  auto *const operation =
      new ReadOperation{refGObject(stream), std::move(done), 0, std::string()};
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
