/** \file
 * A small deployment on loopback: the store, machines with their nodes and
 * workers, and clients. */
#ifndef PLANTAINHATCH_REVIEW_SITE_H
#define PLANTAINHATCH_REVIEW_SITE_H

#include "Http.h"

#include <condition_variable>
#include <fstream>
#include <map>
#include <optional>
#include <random>
#include <sys/types.h>

namespace review {

/** Writes what is sent, answered and run, with the time since its start. */
class Record {
public:
  explicit Record(const std::string &fileName) : file(fileName) {}
  void line(const std::string &text);
  double seconds() const;

private:
  std::ofstream file;
  std::mutex mutex;
  TimePoint startedAt = std::chrono::steady_clock::now();
};

/** The platform's store: rows, transactions and the feed of changes. */
class Store {
public:
  explicit Store(const Address &address);
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;
  Store(Store &&) = delete;
  Store &operator=(Store &&) = delete;
  ~Store();

  /** Writes a row of the operator's; its return is the acknowledgement. */
  void put(const std::string &key, const std::string &value);

private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool isRemoved = false;
  };
  std::mutex mutex;
  std::condition_variable changed;
  /** By table and key; the parts that nodes use are all empty. */
  std::map<std::pair<std::string, std::string>, Row> rows;
  std::uint64_t version = 0;
  bool isEnding = false;
  std::unique_ptr<Server> server;

  Answer serve(const Request &request);
  Answer readRows(const std::string &target);
  Answer follow(const std::string &target);
  Answer transact(const std::string &body);
  std::string describe(const std::string &table, const std::string &key) const;
};

/** The process of a node. */
class Node {
public:
  Node(std::string settingsFile, std::string logFile)
      : settings(std::move(settingsFile)), log(std::move(logFile)) {}
  ~Node() { end(); }
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;
  Node(Node &&) = delete;
  Node &operator=(Node &&) = delete;

  void start();
  void signal(int number) const;
  /** Kills it, unless it has ended. */
  void end();
  /** True if it has ended by itself. */
  bool hasEnded();

private:
  std::string settings;
  std::string log;
  pid_t pid = -1;
};

/** One run of a request at a worker. */
struct Run {
  std::string id;
  double at = 0;
  /** What X-Plantainhatch-Caller-Service has said. */
  std::string callerService;
};

/** A worker. */
class Worker {
public:
  struct Traits {
    std::string id;
    std::string service;
    std::string zone;
    Milliseconds workTime{50};
  };

  Worker(Record &recordFile, Address own, Address control, Traits newTraits);
  ~Worker();
  Worker(const Worker &) = delete;
  Worker &operator=(const Worker &) = delete;
  Worker(Worker &&) = delete;
  Worker &operator=(Worker &&) = delete;

  /** The next heartbeat, not sent yet. */
  Request nextBeat();
  /** Sends a message to the node beside it. \return true if the node has
   * acknowledged it. */
  bool tell(const Request &message);
  /** Sends heartbeats at the platform's interval until it leaves. */
  void startBeats();
  /** Leaves by a DELETE, as a worker that never says `draining`. Serves on.
   * \return true if the node has acknowledged it. */
  bool leave();
  /** Ends, and drops what is at work. */
  void end();
  /** From now on this share of the requests is run and never answered. */
  void setHangShare(double share) { hangShare = share; }
  std::vector<Run> runs();
  /** Requests that were at work when the worker ended. */
  unsigned dropped() const { return atWork; }

private:
  Record &record;
  Address address;
  Address controlAddress;
  Traits traits;
  std::int64_t born;
  std::mutex mutex;
  std::vector<Run> allRuns;
  std::uint64_t sequence = 0;
  std::atomic<bool> isLeaving = false;
  std::atomic<bool> hasEnded = false;
  std::atomic<unsigned> atWork = 0;
  std::atomic<double> hangShare = 0;
  std::mt19937 random{1};
  std::unique_ptr<Server> server;
  std::thread beats;

  Answer serve(const Request &request);
  Answer work(const Request &request);
  bool drawHang();
};

/** The addresses of one machine. */
struct Machine {
  std::string zone;
  std::string service;
  Address outbound;
  Address inbound;
  Address ready;
  Address control;
  Address metrics;
  Address worker;
  Address peers;
  std::string settingsFile;
  std::unique_ptr<Node> node;
};

/** A store and machines whose nodes run with the deploy file's command. */
class Site {
public:
  Site(Record &recordFile, const std::string &folder);

  /** Adds a machine, whose node is not started. */
  Machine &addMachine(const std::string &zone, const std::string &service);
  /** Writes the settings file of a machine, where another service may run
   * than before. */
  void writeSettings(const Machine &machine) const;
  /** Waits until the node of \p machine says that it is ready. */
  static bool waitUntilReady(const Machine &machine);
  /** Adds a worker to a machine and lets it send heartbeats. */
  Worker &addWorker(const Machine &machine, Milliseconds workTime);

  /** Where a machine stands and the service of its worker. */
  struct Place {
    std::string zone;
    std::string service;
  };
  /** Adds machines with nodes and workers, and waits until all are known.
   * \return false if a node does not become ready. */
  bool start(const std::vector<Place> &places, Milliseconds workTime);
  Machine &machine(std::size_t n) { return *machines.at(n); }
  Worker &worker(std::size_t n) { return *workers.at(n); }
  std::size_t workerCount() const { return workers.size(); }

  Store &store() { return *storeServer; }
  /** The bound grace_s of machines that are added from now on. */
  void setGrace(std::string seconds) { graceSeconds = std::move(seconds); }

private:
  Record &record;
  std::string temporary;
  std::string graceSeconds = "6";
  Address storeAddress;
  std::unique_ptr<Store> storeServer;
  std::vector<std::unique_ptr<Machine>> machines;
  std::vector<std::unique_ptr<Worker>> workers;

  std::string hostOf(std::size_t n) const;
};

/** A configuration that has for each service a safe and an unsafe route, with
 * the prefixes /SERVICE/read/ and /SERVICE/write/. */
std::string makeConfiguration(const std::vector<std::string> &services);

/** A client's attempt. */
Request makeAttempt(const std::string &method, const std::string &path,
                    const std::string &id, Milliseconds deadline);

/** False in the run without the disruption, TROUBLE=0. */
bool isTroubled();

void pause(Milliseconds time);

/** Runs a case with the record and the temporary folder that the arguments
 * name. \return its result, or 2 if it cannot run. */
int runWith(int argc, char **argv,
            int (*runCase)(Record &record, const std::string &folder));

} // namespace review

#endif
