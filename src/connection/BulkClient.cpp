#include "connection/BulkClient.h"

#include "connection/Frame.h"
#include "connection/GObjectPtr.h"

namespace plantainhatch {

namespace {

/** One request under way. Owned by the pending callback. */
struct BulkOperation {
  GObjectPtr<GSocketClient> client;
  GObjectPtr<GSocketConnection> connection;
  GObjectPtr<GCancellable> cancellable;
  std::string request;
  std::function<void(std::optional<std::string>)> done;
};

void awaitReply(const std::shared_ptr<BulkOperation> &operation) {
  GInputStream *const input =
      g_io_stream_get_input_stream(G_IO_STREAM(operation->connection.get()));
  readFrame(input, operation->cancellable.get(),
            [operation](std::optional<std::string> reply) {
              g_io_stream_close(G_IO_STREAM(operation->connection.get()),
                                nullptr, nullptr);
              operation->done(std::move(reply));
            });
}

void sendRequest(const std::shared_ptr<BulkOperation> &operation) {
  GOutputStream *const output =
      g_io_stream_get_output_stream(G_IO_STREAM(operation->connection.get()));
  writeFrame(output, operation->request, operation->cancellable.get(),
             [operation](bool isWritten) {
               if (isWritten)
                 awaitReply(operation);
               else
                 operation->done(std::nullopt);
             });
}

void onConnected(GObject *source, GAsyncResult *result, gpointer data) {
  const std::unique_ptr<std::shared_ptr<BulkOperation>> owned(
      static_cast<std::shared_ptr<BulkOperation> *>(data));
  const std::shared_ptr<BulkOperation> &operation = *owned;
  operation->connection.reset(
      g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, nullptr));
  if (operation->connection)
    sendRequest(operation);
  else
    operation->done(std::nullopt);
}

} // namespace

void requestBulk(const Address &address, std::string request,
                 std::function<void(std::optional<std::string>)> done) {
  const auto operation = std::make_shared<BulkOperation>();
  operation->client.reset(g_socket_client_new());
  operation->cancellable.reset(g_cancellable_new());
  operation->request = std::move(request);
  operation->done = std::move(done);
  g_socket_client_set_timeout(operation->client.get(), BulkTimeoutSeconds);
  g_socket_client_set_enable_proxy(operation->client.get(), FALSE);
  g_socket_client_connect_to_host_async(
      operation->client.get(), address.toString().c_str(), address.port,
      operation->cancellable.get(), onConnected,
      new std::shared_ptr<BulkOperation>(operation));
}

} // namespace plantainhatch
