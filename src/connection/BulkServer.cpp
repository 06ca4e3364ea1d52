#include "connection/BulkServer.h"

#include "connection/Frame.h"
#include "connection/PeerSocket.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace plantainhatch {

namespace {

/** One accepted connection. Callbacks hold references; it closes when the last
 * is gone. */
class BulkConnection
    : public boost::intrusive_ref_counter<BulkConnection,
                                          boost::thread_unsafe_counter> {
public:
  BulkConnection(GSocketConnection *connection,
                 std::shared_ptr<BulkServer::Responder> responder,
                 std::shared_ptr<unsigned> count)
      : connection(refGObject(connection)), responder(std::move(responder)),
        count(std::move(count)) {
    ++*this->count;
    g_socket_set_timeout(g_socket_connection_get_socket(connection),
                         BulkServer::IdleSeconds);
  }

  ~BulkConnection() {
    --*count;
    g_io_stream_close(G_IO_STREAM(connection.get()), nullptr, nullptr);
  }

  BulkConnection(const BulkConnection &) = delete;
  BulkConnection &operator=(const BulkConnection &) = delete;
  BulkConnection(BulkConnection &&) = delete;
  BulkConnection &operator=(BulkConnection &&) = delete;

  void readNext() {
    const boost::intrusive_ptr<BulkConnection> self(this);
    readFrame(g_io_stream_get_input_stream(G_IO_STREAM(connection.get())),
              [self](const std::optional<std::string> &frame) {
                if (frame)
                  self->answer(*frame);
              });
  }

private:
  GObjectPtr<GSocketConnection> connection;
  std::shared_ptr<BulkServer::Responder> responder;
  std::shared_ptr<unsigned> count;

  void answer(const std::string &frame) {
    const auto reply = (*responder)(frame);
    if (!reply)
      return;
    const boost::intrusive_ptr<BulkConnection> self(this);
    writeFrame(g_io_stream_get_output_stream(G_IO_STREAM(connection.get())),
               *reply, [self](bool isWritten) {
                 if (isWritten)
                   self->readNext();
               });
  }
};

} // namespace

Checked<std::unique_ptr<BulkServer>> BulkServer::listen(const Address &address,
                                                        Responder responder) {
  std::unique_ptr<BulkServer> server(new BulkServer(std::move(responder)));
  const auto local = toSocketAddress(address);
  GError *error = nullptr;
  if (!g_socket_listener_add_address(G_SOCKET_LISTENER(server->service.get()),
                                     local.get(), G_SOCKET_TYPE_STREAM,
                                     G_SOCKET_PROTOCOL_TCP, nullptr, nullptr,
                                     &error)) {
    const GErrorPtr owned(error);
    return Findings{
        {"peers", 0, 0, {}, address.toString() + ": " + owned->message}};
  }
  g_socket_service_start(server->service.get());
  return server;
}

BulkServer::BulkServer(Responder newResponder)
    : service(g_socket_service_new()),
      responder(std::make_shared<Responder>(std::move(newResponder))),
      connections(std::make_shared<unsigned>(0)) {
  g_signal_connect(service.get(), "incoming", G_CALLBACK(onIncoming), this);
}

BulkServer::~BulkServer() {
  *responder = [](const std::string &) { return std::nullopt; };
  g_signal_handlers_disconnect_by_data(service.get(), this);
  g_socket_service_stop(service.get());
  g_socket_listener_close(G_SOCKET_LISTENER(service.get()));
}

gboolean BulkServer::onIncoming(GSocketService * /*service*/,
                                GSocketConnection *connection,
                                GObject * /*source*/, gpointer data) {
  auto *const self = static_cast<BulkServer *>(data);
  if (*self->connections >= MaxConnections)
    return TRUE;
  const boost::intrusive_ptr<BulkConnection> accepted(
      new BulkConnection(connection, self->responder, self->connections));
  accepted->readNext();
  return TRUE;
}

} // namespace plantainhatch
