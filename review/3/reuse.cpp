/** \file
 * A worker ends and its address goes to a worker of another service. Counts the
 * requests from that machine that name the former service as their caller. */
#include "../standins/Site.h"

#include <csignal>
#include <iostream>

namespace {

using namespace review;

constexpr const char *Former = "huvo11a";
constexpr const char *Next = "wuno96b";
constexpr Milliseconds Deadline{2500};
/** reuse_after_s. */
constexpr Milliseconds ReuseAfter{2000};
/** Far more than any bound for what is told to a node. */
constexpr Milliseconds TimeToLearn{8000};
constexpr unsigned Requests = 40;

int runCase(Record &record, const std::string &folder) {
  Site site(record, folder);
  site.store().put("config", makeConfiguration({Former, Next}));
  if (!site.start({{"piraeus", Former}, {"larissa", Former}, {"larissa", Next}},
                  Milliseconds(50)))
    return 2;

  Machine &reused = site.machine(0);
  if (isTroubled()) {
    site.worker(0).end();
    pause(ReuseAfter + Milliseconds(500));
    reused.service = Next;
    site.writeSettings(reused);
    reused.node->signal(SIGHUP);
    record.line(std::string("machine 1: its settings name ") + Next +
                " as its service, and its node has SIGHUP");
    site.addWorker(reused, Milliseconds(50));
  }
  pause(TimeToLearn);

  unsigned served = 0;
  for (unsigned n = 0; n < Requests; ++n) {
    const std::string id = "of-machine-1-" + std::to_string(n);
    const Answer answer = call(
        reused.outbound,
        makeAttempt("GET",
                    std::string("/") + (n % 2 == 0 ? Former : Next) + "/read/x",
                    id, Deadline),
        Deadline);
    record.line("client: " + id + " is answered " +
                std::to_string(answer.status));
    served += answer.status == 200 ? 1 : 0;
    pause(Milliseconds(30));
  }
  unsigned wrong = 0;
  for (std::size_t n = 0; n < site.workerCount(); ++n)
    for (const Run &run : site.worker(n).runs())
      wrong += run.callerService != reused.service ? 1 : 0;
  const std::string verdict =
      "verdict: " + std::to_string(served) + " of " + std::to_string(Requests) +
      " requests of machine 1 were served; " + std::to_string(wrong) +
      " were run with another caller's service than " + reused.service;
  record.line(verdict);
  std::cout << verdict << "\n";
  if (served < Requests / 2)
    return 2;
  return wrong > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv) { return review::runWith(argc, argv, runCase); }
