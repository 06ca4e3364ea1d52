#include "connection/BulkClient.h"

#include "connection/Frame.h"
#include "connection/GObjectPtr.h"
#include "connection/connectTo.h"

namespace plantainhatch {

namespace {

/** One request under way. Owned by the pending callback. */
struct BulkOperation {
  GObjectPtr<GSocketConnection> connection;
  std::string request;
  std::function<void(std::optional<std::string>)> done;
};

void awaitReply(const std::shared_ptr<BulkOperation> &operation) {
  GInputStream *const input =
      g_io_stream_get_input_stream(G_IO_STREAM(operation->connection.get()));
  readFrame(input, [operation](std::optional<std::string> reply) {
    g_io_stream_close(G_IO_STREAM(operation->connection.get()), nullptr,
                      nullptr);
    operation->done(std::move(reply));
  });
}

void sendRequest(const std::shared_ptr<BulkOperation> &operation) {
  GOutputStream *const output =
      g_io_stream_get_output_stream(G_IO_STREAM(operation->connection.get()));
  writeFrame(output, operation->request, [operation](bool isWritten) {
    if (isWritten)
      awaitReply(operation);
    else
      operation->done(std::nullopt);
  });
}

} // namespace

void requestBulk(const Address &address, std::string request,
                 std::function<void(std::optional<std::string>)> done) {
  const auto operation = std::make_shared<BulkOperation>();
  operation->request = std::move(request);
  operation->done = std::move(done);
  connectTo(address, BulkTimeout, [operation](ConnectResult result) {
    operation->connection = std::move(result.connection);
    if (operation->connection)
      sendRequest(operation);
    else
      operation->done(std::nullopt);
  });
}

} // namespace plantainhatch
