/** \file
 * A node is stopped by SIGTERM where grace_s is a fraction. Counts the requests
 * that it had passed on to a worker and whose connections ended without an
 * answer. */
#include "../standins/Site.h"

#include <csignal>
#include <iostream>

namespace {

using namespace review;

constexpr Milliseconds Deadline{2500};
constexpr unsigned Clients = 8;

/** Counts what was run and not answered. */
int judge(Record &record, Site &site,
          const std::map<std::string, int> &answers) {
  unsigned run = 0;
  unsigned lost = 0;
  for (std::size_t n = 0; n < site.workerCount(); ++n)
    for (const Run &it : site.worker(n).runs()) {
      ++run;
      lost += answers.at(it.id) == 0 ? 1 : 0;
    }
  const std::string verdict = "verdict: " + std::to_string(lost) + " of " +
                              std::to_string(run) +
                              " requests that a worker ran had no answer";
  record.line(verdict);
  std::cout << verdict << "\n";
  return lost > 0 ? 1 : 0;
}

int runCase(Record &record, const std::string &folder) {
  Site site(record, folder);
  const char *const grace = std::getenv("GRACE");
  site.setGrace(grace == nullptr ? "6.5" : grace);
  site.store().put("config", makeConfiguration({"huvo11a"}));
  if (!site.start({{"piraeus", "huvo11a"},
                   {"larissa", "huvo11a"},
                   {"kalochori", "huvo11a"}},
                  Milliseconds(300)))
    return 2;

  Machine &stopped = site.machine(0);
  std::mutex mutex;
  std::map<std::string, int> answers;
  std::atomic<bool> isStopping = false;
  std::vector<std::thread> clients;
  clients.reserve(Clients);
  for (unsigned n = 0; n < Clients; ++n) {
    clients.emplace_back([&, n] {
      for (unsigned round = 0; !isStopping; ++round) {
        const std::string id =
            "c" + std::to_string(n) + "-" + std::to_string(round);
        const Answer answer = call(
            stopped.outbound,
            makeAttempt("POST", "/huvo11a/write/x", id, Deadline), Deadline);
        record.line("client: " + id + " is answered " +
                    std::to_string(answer.status));
        const std::lock_guard lock(mutex);
        answers[id] = answer.status;
      }
    });
  }
  pause(Milliseconds(2000));
  if (isTroubled()) {
    record.line("machine 1: its node gets SIGTERM");
    stopped.node->signal(SIGTERM);
  }
  // The platform takes a node out that is no longer ready, and clients send it
  // nothing more.
  pause(Milliseconds(isTroubled() ? 1000 : 500));
  isStopping = true;
  for (std::thread &it : clients)
    it.join();
  pause(Milliseconds(500));

  return judge(record, site, answers);
}

} // namespace

int main(int argc, char **argv) { return review::runWith(argc, argv, runCase); }
