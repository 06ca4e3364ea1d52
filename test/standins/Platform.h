/** \file
 * A stand-in for the platform's table service and object store. */
#ifndef PLANTAINHATCH_TEST_STANDINS_PLATFORM_H
#define PLANTAINHATCH_TEST_STANDINS_PLATFORM_H

#include "connection/HttpServer.h"
#include "connection/Timer.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace plantainhatch::test {

/** Rows with versions, transactions, a feed of changes, and objects, all in
 * memory. Faults are switched on by POST /standin/control {"mode": "up" |
 * "down" | "slow" | "late" | "lose"}: "lose" carries writes out and closes the
 * connection instead of answering; "slow" answers "delayMs" after it has
 * carried out; "late" carries out that much later. With {"forgets": true}
 * every feed says that its history is gone; with {"stale": true} tables are
 * read as they were at that moment, and {"stale": false} ends that.
 * {"copy": true} takes a copy, and {"restore": true} goes back to it: all that
 * was written since is gone, versions are given out again, and Store-Era in all
 * answers rises by one. */
class Platform {
public:
  /** Listens. \return the stand-in, or findings if the address cannot be used.
   */
  static Checked<std::unique_ptr<Platform>> start(const Address &address);

private:
  struct StoredRow {
    std::string value;
    std::uint64_t version = 0;
  };
  /** Rows by part and key. */
  using Table = std::map<std::pair<std::string, std::string>, StoredRow>;
  /** A change that feeds return; \c value is empty for a removed row. */
  struct Change {
    std::uint64_t version = 0;
    std::string table;
    std::string part;
    std::string key;
    std::optional<std::string> value;
  };
  /** All tables as they were at one version. */
  struct Snapshot {
    std::map<std::string, Table> tables;
    std::uint64_t version = 0;
  };
  struct Follower {
    IncomingCallPtr call;
    std::string table;
    std::uint64_t after = 0;
    std::unique_ptr<Timer> timer;
  };

  std::unique_ptr<HttpServer> server;
  std::map<std::string, Table> tables;
  std::map<std::string, std::string> objects;
  std::vector<Change> history;
  /** Changes up to this version have been dropped. */
  std::uint64_t historyStart = 0;
  std::list<Follower> followers;
  /** Set while feeds say that their history is gone, whatever they ask. */
  bool forgets = false;
  /** Set while reads are answered from the past. */
  std::optional<Snapshot> past;
  /** The copy of tables and objects, with the version of that moment. */
  std::optional<Snapshot> copy;
  std::map<std::string, std::string> copiedObjects;
  unsigned era = 0;
  std::uint64_t version = 0;
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
  void takeCopy();
  /** \pre There is a copy. */
  void restore();
  void setRow(const IncomingCallPtr &call);
  void readRows(const IncomingCallPtr &call);
  void listParts(const IncomingCallPtr &call);
  void follow(const IncomingCallPtr &call);
  /** Answers followers that have something to hear. */
  void wakeFollowers();
  bool tellChanges(const Follower &follower, bool isWaitOver);
  void transact(const IncomingCallPtr &call);
  nlohmann::json findConflicts(const nlohmann::json &expected) const;
  void write(const std::string &table, const std::string &part,
             const std::string &key, std::optional<std::string> value);
  void serveObject(const IncomingCallPtr &call, const std::string &path);
  nlohmann::json stamped(nlohmann::json answer) const;
  nlohmann::json stamped(nlohmann::json answer, std::uint64_t asOf) const;
  void answer(const IncomingCallPtr &call, unsigned status,
              const HeaderList &headers, const std::string &body, bool isWrite);
  bool mustLose(bool isWrite);
};

} // namespace plantainhatch::test

#endif
