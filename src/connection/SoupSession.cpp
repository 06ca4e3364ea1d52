#include "connection/SoupSession.h"

namespace plantainhatch {

namespace {

constexpr int MaxConnections = 4096;
constexpr int MaxConnectionsPerHost = 512;
constexpr int IdleSeconds = 30;

} // namespace

GObjectPtr<SoupSession> makeSoupSession() {
  GObjectPtr<SoupSession> session(soup_session_new_with_options(
      "max-conns", MaxConnections, "max-conns-per-host", MaxConnectionsPerHost,
      "timeout", 0U, "idle-timeout", IdleSeconds, "proxy-resolver", nullptr,
      nullptr));
  soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_AUTH_MANAGER);
  return session;
}

void preventHiddenResend(SoupMessage *message, GCancellable *cancellable) {
  const auto cancel = +[](SoupMessage * /*message*/, gpointer data) {
    g_cancellable_cancel(static_cast<GCancellable *>(data));
  };
  g_signal_connect(message, "restarted", G_CALLBACK(cancel), cancellable);
}

} // namespace plantainhatch
