/** \file
 * A worker leaves by a DELETE; the node beside it acknowledges that, is killed
 * and starts again; then a heartbeat arrives that the worker had sent before
 * it left. Counts the requests that the worker still gets. */
#include "../standins/Site.h"

#include <iostream>

namespace {

using namespace review;

constexpr double DrainSeconds = 2.0;
constexpr double StableSeconds = 3.0;
/** So that no request counts whose moment is in doubt. */
constexpr double Margin = 0.2;
constexpr Milliseconds Deadline{3000};

/** Clients of one machine: one request after the other until they are told to
 * stop. */
class Clients {
public:
  Clients(Record &recordFile, const Machine &clientMachine, std::string prefix)
      : record(recordFile), machine(clientMachine), name(std::move(prefix)),
        thread([this] { run(); }) {}
  ~Clients() { stop(); }
  Clients(const Clients &) = delete;
  Clients &operator=(const Clients &) = delete;
  Clients(Clients &&) = delete;
  Clients &operator=(Clients &&) = delete;

  void stop() {
    isStopping = true;
    if (thread.joinable())
      thread.join();
  }

  /** When each request was sent. \pre stop() was called. */
  const std::map<std::string, double> &sent() const { return sentAt; }
  /** Requests without a success, and their status. \pre stop() was called. */
  const std::map<std::string, int> &failed() const { return failures; }

private:
  Record &record;
  const Machine &machine;
  std::string name;
  std::atomic<bool> isStopping = false;
  std::map<std::string, double> sentAt;
  std::map<std::string, int> failures;
  std::thread thread;

  void run() {
    for (unsigned n = 0; !isStopping; ++n) {
      const std::string id = name + std::to_string(n);
      const bool isSafe = n % 2 == 0;
      sentAt[id] = record.seconds();
      const Answer answer =
          call(machine.outbound,
               makeAttempt(isSafe ? "GET" : "POST",
                           isSafe ? "/huvo11a/read/x" : "/huvo11a/write/x", id,
                           Deadline),
               Deadline);
      record.line("client: " + id + (isSafe ? " safe" : " unsafe") +
                  " is answered " + std::to_string(answer.status));
      if (answer.status != 200)
        failures[id] = answer.status;
      pause(Milliseconds(20));
    }
  }
};

using AllClients = std::vector<std::unique_ptr<Clients>>;

/** Counts the late requests, and those of them without a success. */
int judge(Record &record, Worker &leaver, const AllClients &clients,
          double leftAt, double calmSince) {
  std::map<std::string, double> sentAt;
  std::map<std::string, int> failed;
  for (const auto &it : clients) {
    it->stop();
    sentAt.insert(it->sent().begin(), it->sent().end());
    failed.insert(it->failed().begin(), it->failed().end());
  }
  unsigned late = 0;
  unsigned lost = 0;
  for (const Run &run : leaver.runs()) {
    const bool isLate = run.at > leftAt + DrainSeconds + Margin &&
                        sentAt.at(run.id) > calmSince + StableSeconds + Margin;
    late += isLate ? 1 : 0;
    lost += isLate && failed.contains(run.id) ? 1 : 0;
  }
  const std::string verdict =
      "verdict: " + std::to_string(late) +
      " requests reached worker i-1 later than drain_ms after its leaving was "
      "acknowledged, between machines in touch; " +
      std::to_string(lost) + " of them had no success";
  record.line(verdict);
  std::cout << verdict << "\n";
  return late > 0 ? 1 : 0;
}

int runCase(Record &record, const std::string &folder) {
  Site site(record, folder);
  site.store().put("config", makeConfiguration({"huvo11a"}));
  if (!site.start({{"piraeus", "huvo11a"},
                   {"larissa", "huvo11a"},
                   {"kalochori", "huvo11a"}},
                  Milliseconds(100)))
    return 2;
  Worker &leaver = site.worker(0);
  const Machine &beside = site.machine(0);
  std::vector<std::unique_ptr<Clients>> clients;
  for (const char *const name :
       {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"})
    clients.push_back(std::make_unique<Clients>(
        record, site.machine(name[0] % 2 == 0 ? 1 : 2), name));
  pause(Milliseconds(4000));
  if (leaver.runs().empty())
    return 2;

  // This one is late on its way, and arrives after the DELETE.
  const Request lateBeat = leaver.nextBeat();
  record.line("worker i-1: sends a heartbeat that will be late");
  pause(Milliseconds(300));
  if (!leaver.leave())
    return 2;
  const double leftAt = record.seconds();
  pause(Milliseconds(300));
  double calmSince = leftAt;
  if (isTroubled()) {
    record.line("machine 1: its node is killed");
    beside.node->end();
    pause(Milliseconds(400));
    beside.node->start();
    calmSince = record.seconds();
    record.line("machine 1: its node starts again");
  } else {
    pause(Milliseconds(400));
  }
  if (!Site::waitUntilReady(beside))
    return 2;
  pause(Milliseconds(500));
  leaver.tell(lateBeat);
  pause(Milliseconds(6500));
  leaver.end();
  pause(Milliseconds(500));

  return judge(record, leaver, clients, leftAt, calmSince);
}

} // namespace

int main(int argc, char **argv) { return review::runWith(argc, argv, runCase); }
