#include "connection/PlatformClient.h"

#include "connection/Timer.h"

#include <nlohmann/json.hpp>

namespace plantainhatch {

namespace {

using nlohmann::json;

std::string escape(const std::string &text) {
  const std::unique_ptr<gchar, decltype(&g_free)> escaped(
      g_uri_escape_string(text.c_str(), nullptr, FALSE), g_free);
  return escaped.get();
}

std::string rowPath(const std::string &table, const std::string &key) {
  return "/v1/tables/" + escape(table) + "/rows/" + escape(key);
}

std::string objectPath(const std::string &name) {
  return "/v1/objects/" + escape(name);
}

/** A value is kept as a string; a service that hands JSON back as JSON is
 * understood, too. */
std::string valueOf(const json &value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

json toJson(const Transaction &transaction) {
  json checks = json::array();
  for (const auto &check : transaction.checks)
    checks.push_back({{"key", check.key},
                      {"etag", check.etag ? json(*check.etag) : json()}});
  json puts = json::array();
  for (const auto &[key, value] : transaction.puts)
    puts.push_back({{"key", key}, {"value", value}});
  return {{"checks", checks}, {"puts", puts}, {"deletes", transaction.deletes}};
}

StoreResult toReadResult(unsigned status) {
  if (status == SOUP_STATUS_OK)
    return StoreResult::Ok;
  return status == SOUP_STATUS_NOT_FOUND ? StoreResult::Absent
                                         : StoreResult::Unknown;
}

RowsResult parseRows(const std::string &body) {
  try {
    RowsResult result{StoreResult::Ok, {}};
    const json object = json::parse(body);
    for (const auto &row : object.at("rows"))
      result.rows.push_back({row.at("key").get<std::string>(),
                             row.at("etag").get<std::string>(),
                             valueOf(row.at("value"))});
    return result;
  } catch (const json::exception &) {
    return {};
  }
}

TransactionResult parseTransaction(unsigned status, const std::string &body) {
  if (status == SOUP_STATUS_CONFLICT)
    return {StoreResult::Conflict, {}};
  if (status != SOUP_STATUS_OK)
    return {};
  try {
    TransactionResult result{StoreResult::Ok, {}};
    const json object = json::parse(body);
    for (const auto &[key, etag] : object.at("etags").items())
      result.etags[key] =
          etag.is_string() ? etag.get<std::string>() : std::string();
    return result;
  } catch (const json::exception &) {
    return {};
  }
}

} // namespace

/** One request under way, owned by its callback. */
struct PlatformClient::Operation {
  PlatformClient *client = nullptr;
  std::shared_ptr<bool> isAlive;
  GObjectPtr<SoupMessage> message;
  GObjectPtr<GCancellable> cancellable;
  ResponseReceiver receiver;
  Timer timer;
};

PlatformClient::PlatformClient(std::string url)
    : url(std::move(url)), session(makeHttpSession()) {}

PlatformClient::~PlatformClient() {
  *isAlive = false;
  soup_session_abort(session.get());
}

void PlatformClient::readRow(const std::string &table, const std::string &key,
                             std::function<void(RowResult)> done) {
  send("GET", rowPath(table, key), {},
       [key, done = std::move(done)](const Response &response) {
         done({toReadResult(response.status),
               {key, response.etag, response.body}});
       });
}

void PlatformClient::readRows(const std::string &table,
                              const std::string &prefix, unsigned limit,
                              std::function<void(RowsResult)> done) {
  const std::string path = "/v1/tables/" + escape(table) +
                           "/rows?prefix=" + escape(prefix) +
                           "&limit=" + std::to_string(limit);
  send("GET", path, {}, [done = std::move(done)](const Response &response) {
    done(response.status == SOUP_STATUS_OK ? parseRows(response.body)
                                           : RowsResult{});
  });
}

void PlatformClient::commit(const std::string &table,
                            const Transaction &transaction,
                            std::function<void(TransactionResult)> done) {
  const std::string path = "/v1/tables/" + escape(table) + "/transactions";
  const std::string body =
      toJson(transaction).dump(-1, ' ', false, json::error_handler_t::replace);
  send("POST", path, body, [done = std::move(done)](const Response &response) {
    done(parseTransaction(response.status, response.body));
  });
}

void PlatformClient::readObject(const std::string &name,
                                std::function<void(ObjectResult)> done) {
  send("GET", objectPath(name), {},
       [done = std::move(done)](const Response &response) {
         done({toReadResult(response.status), response.body});
       });
}

void PlatformClient::writeObject(const std::string &name,
                                 const std::string &content,
                                 std::function<void(StoreResult)> done) {
  send("PUT", objectPath(name), content,
       [done = std::move(done)](const Response &response) {
         const bool isWritten = response.status >= SOUP_STATUS_OK &&
                                response.status < SOUP_STATUS_MULTIPLE_CHOICES;
         done(isWritten ? StoreResult::Ok : StoreResult::Unknown);
       });
}

void PlatformClient::send(const char *method, const std::string &path,
                          const std::string &body, ResponseReceiver receiver) {
  ++requests;
  bytes += body.size();
  auto *const operation = new Operation;
  operation->client = this;
  operation->isAlive = isAlive;
  operation->cancellable.reset(g_cancellable_new());
  operation->receiver = std::move(receiver);
  operation->message.reset(soup_message_new(method, (url + path).c_str()));
  if (!body.empty() || std::string_view(method) != "GET") {
    const GBytesPtr content(g_bytes_new(body.data(), body.size()));
    soup_message_set_request_body_from_bytes(operation->message.get(),
                                             "application/json", content.get());
  }
  preventHiddenResend(operation->message.get(), operation->cancellable.get());
  operation->timer.startOnce(Timeout, [operation] {
    g_cancellable_cancel(operation->cancellable.get());
  });
  soup_session_send_and_read_async(
      session.get(), operation->message.get(), G_PRIORITY_DEFAULT,
      operation->cancellable.get(), onDone, operation);
}

void PlatformClient::onDone(GObject *session, GAsyncResult *result,
                            gpointer data) {
  const std::unique_ptr<Operation> operation(static_cast<Operation *>(data));
  const GBytesPtr body(soup_session_send_and_read_finish(SOUP_SESSION(session),
                                                         result, nullptr));
  if (!*operation->isAlive)
    return;
  Response response;
  if (body) {
    SoupMessage *const message = operation->message.get();
    response.status = soup_message_get_status(message);
    const char *const etag = soup_message_headers_get_one(
        soup_message_get_response_headers(message), "ETag");
    response.etag = etag == nullptr ? "" : etag;
    response.body = toString(body.get());
    operation->client->bytes += response.body.size();
  }
  operation->receiver(response);
}

} // namespace plantainhatch
