/** \file
 * The platform's table service and object store. */
#ifndef PLANTAINHATCH_CONNECTION_PLATFORMCLIENT_H
#define PLANTAINHATCH_CONNECTION_PLATFORMCLIENT_H

#include "connection/HttpSession.h"
#include "request/ClaimDecision.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainhatch {

/** A row as read. */
struct Row {
  std::string key;
  std::string etag;
  std::string value;
};

/** What is read. The row is set with StoreResult::Ok only. */
struct RowResult {
  StoreResult result = StoreResult::Unknown;
  Row row;
};

/** Rows as read; empty unless the result is Ok. */
struct RowsResult {
  StoreResult result = StoreResult::Unknown;
  std::vector<Row> rows;
};

/** A transaction: all of it takes effect, or nothing. */
struct Transaction {
  /** A row that must have this tag or, without one, must be absent. */
  struct Check {
    std::string key;
    std::optional<std::string> etag;
  };
  std::vector<Check> checks;
  /** Rows to write: key and value. */
  std::vector<std::pair<std::string, std::string>> puts;
  std::vector<std::string> deletes;
};

/** What became of a transaction. With StoreResult::Unknown it may have taken
 * effect. */
struct TransactionResult {
  StoreResult result = StoreResult::Unknown;
  /** Tags of written rows. */
  std::map<std::string, std::string> etags;
};

/** An object as read. */
struct ObjectResult {
  StoreResult result = StoreResult::Unknown;
  std::string bytes;
};

/** Speaks the platform's protocol. Each call has a time limit, after which its
 * result is Unknown. Used on the main loop only. Callbacks are not called after
 * the client is destroyed. */
class PlatformClient {
public:
  static constexpr std::chrono::milliseconds Timeout{1'500};

  /** \param url has no slash at its end. */
  explicit PlatformClient(std::string url);
  ~PlatformClient();
  PlatformClient(const PlatformClient &) = delete;
  PlatformClient &operator=(const PlatformClient &) = delete;
  PlatformClient(PlatformClient &&) = delete;
  PlatformClient &operator=(PlatformClient &&) = delete;

  void readRow(const std::string &table, const std::string &key,
               std::function<void(RowResult)> done);
  void readRows(const std::string &table, const std::string &prefix,
                unsigned limit, std::function<void(RowsResult)> done);
  void commit(const std::string &table, const Transaction &transaction,
              std::function<void(TransactionResult)> done);
  void readObject(const std::string &name,
                  std::function<void(ObjectResult)> done);
  /** Writes an object; writing equal bytes under the same name again is
   * harmless. */
  void writeObject(const std::string &name, const std::string &bytes,
                   std::function<void(StoreResult)> done);

  /** Requests sent since the start. */
  std::uint64_t requestCount() const { return requests; }
  /** Bytes of bodies sent and received since the start. */
  std::uint64_t byteCount() const { return bytes; }

private:
  /** Status 0 means that there was no answer in time. */
  struct Response {
    unsigned status = 0;
    std::string etag;
    std::string body;
  };
  using ResponseReceiver = std::function<void(const Response &)>;
  struct Operation;

  std::string url;
  GObjectPtr<SoupSession> session;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
  std::uint64_t requests = 0;
  std::uint64_t bytes = 0;

  void send(const char *method, const std::string &path,
            const std::string &body, ResponseReceiver receiver);
  static void onDone(GObject *session, GAsyncResult *result, gpointer data);
};

} // namespace plantainhatch

#endif
