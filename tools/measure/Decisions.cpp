/** \file
 * What the decision and membership logic costs by itself, without sockets, up
 * to the size that the system is designed for. */
#include "base/Digest.h"
#include "connection/MessageCodec.h"
#include "measure/Table.h"
#include "process/ConfigurationReplica.h"
#include "process/Rendezvous.h"
#include "request/PickPolicy.h"
#include "request/collectCandidates.h"

#include <malloc.h>

namespace {

using namespace plantainhatch;
using tools::Table;

constexpr std::size_t TargetMembers = 7500;
constexpr std::size_t TargetServices = 690;
constexpr std::size_t Domains = 11;

std::size_t servicesFor(std::size_t members) {
  return std::max<std::size_t>(1, members * TargetServices / TargetMembers);
}

Address addressOf(std::size_t n, std::uint16_t port) {
  return {"10." + std::to_string(n / 65536) + "." +
              std::to_string(n / 256 % 256) + "." + std::to_string(n % 256),
          port};
}

Member makeMember(std::size_t n, std::size_t services) {
  Member member;
  member.peersAddress = addressOf(n, 7101);
  member.callersAddress = addressOf(n, 8101);
  member.failureDomain = "region-" + std::to_string(n % Domains);
  member.generation = 1'796'000'000'000 + n;
  member.incarnation = 3;
  member.target = {"service-" + std::to_string(n % services),
                   addressOf(n, 8201),
                   12,
                   4,
                   220,
                   "7ebb6e2b-c1a5-47d7-bb47-db30ba2f5433",
                   "/load",
                   "v1",
                   TargetState::Warm};
  return member;
}

std::size_t heapBytes() { return mallinfo2().uordblks; }

/** Microseconds of processor time for one run, over many. */
template <typename Action> double timeOf(unsigned count, Action action) {
  const std::clock_t start = std::clock();
  for (unsigned n = 0; n < count; ++n)
    action(n);
  return static_cast<double>(std::clock() - start) * 1e6 / CLOCKS_PER_SEC /
         count;
}

/** A membership and index of the given size. */
struct View {
  Membership membership;
  ServiceIndex index;
  TimePoint now{std::chrono::hours(1)};

  View(std::size_t members, std::size_t services)
      : membership(makeMember(0, services), 1) {
    std::vector<Member> records;
    for (std::size_t n = 1; n < members; ++n)
      records.push_back(makeMember(n, services));
    membership.merge(records, false, now);
    for (const MemberChange &change : membership.takeChanges())
      index.update(change.after);
    index.update(membership.self());
    drainNews();
  }

  /** Sends all news, as a node that has run for long has done. */
  void drainNews() {
    while (membership.pendingUpdates() > 0) {
      Message message;
      membership.addUpdates(message, addressOf(1, 7101));
    }
  }
};

void measureMembership(Table &table, std::size_t members) {
  const std::size_t services = servicesFor(members);
  const auto size = static_cast<double>(members);
  const std::size_t before = heapBytes();
  View view(members, services);
  table.add("membership and index, bytes", size,
            static_cast<double>(heapBytes() - before));
  table.add("tick without news, us", size, timeOf(2000, [&](unsigned) {
              view.now += Membership::TickInterval;
              view.membership.tick(view.now);
            }));
  // Suspicions that the ticks brought about are news of their own.
  view.membership.takeChanges();
  view.drainNews();
  table.add("one update received, us", size, timeOf(2000, [&](unsigned n) {
              Member member = makeMember(n % (members - 1) + 1, services);
              member.incarnation = 100 + n;
              Message message;
              message.members.push_back(member);
              view.membership.receive(message, view.now);
              for (const MemberChange &change : view.membership.takeChanges())
                view.index.update(change.after);
            }));
  table.add("datagram filled with updates, us", size,
            timeOf(500, [&](unsigned) {
              Message message;
              view.membership.addUpdates(message, addressOf(1, 7101));
            }));
  table.add("digests for anti-entropy, us", size,
            timeOf(20, [&](unsigned) { view.membership.digests(); }));
  table.add("choice of a reader, us", size, timeOf(20, [&](unsigned) {
              isSelectedFor(view.membership, "read-head", 2);
            }));
}

void measurePick(Table &table, std::size_t members) {
  const std::size_t services = servicesFor(members);
  View view(members, services);
  LoadTable loads;
  HotColdPolicy policy;
  std::mt19937_64 random(1);
  for (std::size_t n = 1; n < members; n += services)
    loads.onReport(addressOf(n, 7101), {1, 3, 12, 4000}, view.now);
  const auto configuration = Configuration::makeEmpty();
  const FleetView fleet{view.membership, view.index, *configuration, loads};
  table.add(
      "pick, us", static_cast<double>(members), timeOf(5000, [&](unsigned n) {
        const auto choices = collectCandidates(
            fleet, "service-" + std::to_string(n % services), {}, view.now);
        policy.pick(choices, random);
      }));
}

std::string rulesFor(std::size_t services) {
  std::string text;
  for (std::size_t n = 0; n < services; ++n)
    text += "service service-" + std::to_string(n) + " path /service-" +
            std::to_string(n) + " timeout 2s  # Team " +
            std::to_string(n % 40) + "\n";
  return text;
}

ConfigurationHead headOf(std::uint64_t version, const std::string &text) {
  return {version,
          digestOf(text),
          "7ebb6e2b-c1a5-47d7-bb47-db30ba2f5433",
          "Night shift",
          "domain region-1 out",
          0};
}

void measureConfiguration(Table &table, std::size_t members) {
  const std::size_t services = servicesFor(members);
  const auto size = static_cast<double>(members);
  const std::string text = rulesFor(services);
  const std::string changed = text + "domain region-1 out  # Night shift\n";
  table.add("rules text, bytes", size, static_cast<double>(text.size()));
  ConfigurationReplica keeper;
  std::uint64_t version = 0;
  table.add("adoption of a change, us", size, timeOf(40, [&](unsigned n) {
              const std::string &next = n % 2 == 0 ? text : changed;
              keeper.adopt(headOf(++version, next), next);
            }));
  const auto update = keeper.updateFor(
      version - 1, digestOf(version % 2 == 0 ? text : changed));
  const MessageCodec codec("key of the measurement");
  const BulkReply reply{{}, 1, ConfigurationReply{update}};
  table.add("change on the wire, bytes", size,
            static_cast<double>(codec.encode(reply).size()));
  const std::size_t before = heapBytes();
  const auto copy = Configuration::build(headOf(1, text), text);
  table.add("parsed configuration, bytes", size,
            static_cast<double>(heapBytes() - before));
}

} // namespace

int main() {
  Table table(TargetMembers);
  for (const std::size_t members : {500U, 1000U, 2000U, 4000U, 7500U}) {
    measureMembership(table, members);
    measurePick(table, members);
    measureConfiguration(table, members);
  }
  std::cout << "\nThe logic alone, over members (with " << TargetServices
            << " services at " << TargetMembers << ")\n\n";
  table.print();
}
