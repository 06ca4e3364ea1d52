/** \file
 * Nodes that are cut off from gossip but not from the store, and the reverse.
 */
#include "base/Settings.h"
#include "support/FaultFixture.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;

namespace {

/** Restarts a node with other settings. */
void restartWith(Fleet &fleet, std::size_t vm, const json &changes) {
  fleet.vms[vm]->node->kill();
  json settings = json::parse(readFile(fleet.vms[vm]->settingsFile).value());
  settings.update(changes);
  fleet.write("node-" + std::to_string(fleet.vms[vm]->callers.port) + ".json",
              settings.dump());
  fleet.startNode(vm);
}

bool hasVersion(Fleet &fleet, std::size_t vm, int version) {
  const json state = fleet.status(vm);
  return !state.is_null() && state.value("version", 0) == version &&
         state.at("gate").at("state") != "absent";
}

} // namespace

TEST_GROUP(CutNodes){};

TEST(CutNodes, NodeWithoutGossipObeysThroughTheStore) {
  Fleet fleet(makePlan(2, 1));
  CHECK(fleet.start());
  const auto vm = fleet.vmOf("status");
  // With another key none of its messages is heard, and it hears none.
  fleet.write("other.key", "a key that no other node knows\n");
  restartWith(fleet, vm, {{"keyFile", "other.key"}});
  CHECK(Fleet::waitUntil([&] { return hasVersion(fleet, vm, 1); }));
  CHECK_EQUAL(1, fleet.status(vm).value("present", 0));
  const Address node = fleet.vms[vm]->callers;
  CHECK_EQUAL(200, fleet.http.get(node, "/status").status);
  const auto runs = fleet.targetStats(vm).at("runs").get<int>();
  CHECK_EQUAL(
      0, fleet.command({"domain", "out", "domain-0", "--who", "Test"}).code);
  CHECK(Fleet::waitUntil([&] { return hasVersion(fleet, vm, 2); }));
  const auto refused = fleet.http.get(node, "/status");
  CHECK_EQUAL(503, refused.status);
  STRCMP_EQUAL("not-run", outcomeOf(refused).c_str());
  CHECK_EQUAL(runs, fleet.targetStats(vm).at("runs").get<int>());
}

TEST(CutNodes, NodeWithoutTheStoreObeysThroughGossip) {
  Fleet fleet(makePlan(2, 1));
  CHECK(fleet.start());
  const auto vm = fleet.vmOf("status");
  const auto peer = fleet.vmOf("status", 1);
  restartWith(fleet, vm,
              {{"platform", "http://" + freeAddress().toString()},
               {"seeds", {fleet.vms[peer]->peers.toString()}}});
  CHECK(Fleet::waitUntil([&] { return hasVersion(fleet, vm, 1); }));
  CHECK_EQUAL(
      0, fleet.command({"domain", "out", "domain-0", "--who", "Test"}).code);
  CHECK(Fleet::waitUntil([&] { return hasVersion(fleet, vm, 2); }));
  CHECK_EQUAL(200, fleet.http.get(fleet.vms[vm]->callers, "/status").status);
  CHECK_EQUAL(0, fleet.targetStats(vm).at("runs").get<int>());
}

TEST(CutNodes, ForgedDatagramsAndFramesAreCountedAndDropped) {
  Fleet fleet(makePlan(1, 1));
  CHECK(fleet.start());
  const GObjectPtr<GSocket> socket(
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
                   G_SOCKET_PROTOCOL_UDP, nullptr));
  const Address peers = fleet.vms[0]->peers;
  const GObjectPtr<GSocketAddress> address(
      g_inet_socket_address_new_from_string(peers.host.c_str(), peers.port));
  for (std::size_t n = 0; n < 200; ++n) {
    const std::string garbage(n * 5, static_cast<char>(n));
    g_socket_send_to(socket.get(), address.get(), garbage.data(),
                     garbage.size(), nullptr, nullptr);
  }
  HttpClient::exchangeRaw(peers, std::string("\0\0\0\4abcd", 8));
  HttpClient::exchangeRaw(peers, std::string("\xff\xff\xff\xff", 4));
  CHECK(Fleet::waitUntil([&] {
    return fleet.metric(0, "control_rejected_total", "undecodable") > 100;
  }));
  CHECK_EQUAL(200, fleet.http.get(fleet.vms[0]->callers, "/status").status);
}
