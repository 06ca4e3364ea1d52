/** \file
 * A stand-in for the platform's table service and object store. */
#ifndef PLANTAINHATCH_TEST_STANDINS_PLATFORM_H
#define PLANTAINHATCH_TEST_STANDINS_PLATFORM_H

#include "connection/HttpServer.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace plantainhatch::test {

/** Tables with tags and transactions, and objects, all in memory. Faults are
 * switched on by POST /standin/control {"mode": "up" | "down" | "slow" |
 * "late" | "lose"}: "lose" carries writes out and closes the connection instead
 * of answering; "slow" answers "delayMs" after it has carried out; "late"
 * carries out that much later. */
class Platform {
public:
  /** Listens. \return the stand-in, or findings if the address cannot be used.
   */
  static Checked<std::unique_ptr<Platform>> start(const Address &address);

private:
  struct StoredRow {
    std::string value;
    std::string etag;
  };
  using Table = std::map<std::string, StoredRow>;

  std::unique_ptr<HttpServer> server;
  std::map<std::string, Table> tables;
  std::map<std::string, std::string> objects;
  std::uint64_t nextTag = 1;
  std::string mode = "up";
  std::chrono::milliseconds delay{0};
  /** If not empty, "late" is for writes with this in their path only. */
  std::string heldPart;
  /** Writes for which "lose" still applies; negative for all. */
  int losses = -1;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  /** Requests that "late" has not carried out yet. */
  std::uint64_t delayed = 0;
  /** Transactions by table, and writes of objects by what stands before their
   * last hyphen, counted when they arrive. */
  std::map<std::string, std::uint64_t> arrivals;

  void serve(const IncomingCallPtr &call);
  void carryOut(const IncomingCallPtr &call);
  bool isHeld(const CallRequest &request) const;
  void countArrival(const CallRequest &request);
  void control(const IncomingCallPtr &call);
  void serveTable(const IncomingCallPtr &call, const std::string &path);
  void serveObject(const IncomingCallPtr &call, const std::string &name);
  void listRows(const IncomingCallPtr &call, const Table &table);
  void transact(const IncomingCallPtr &call, Table &table);
  void answer(const IncomingCallPtr &call, unsigned status,
              const HeaderList &headers, const std::string &body, bool isWrite);
  bool mustLose(bool isWrite);
};

} // namespace plantainhatch::test

#endif
