/** \file
 * A call that was given up still counts at its target until that lets go of it.
 */
#include "connection/Exchange.h"
#include "connection/PeerSocket.h"
#include "connection/SoupSession.h"
#include "operator/MainLoop.h"
#include "support/FaultFixture.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using std::chrono::milliseconds;

namespace {

/** A server that does not look whether its callers are still there, and one
 * exchange with it. */
class HeedlessServer {
public:
  HeedlessServer()
      : server(SOUP_SERVER(g_object_new(SOUP_TYPE_SERVER, nullptr))) {
    const Address address = freeAddress();
    const auto local = toSocketAddress(address);
    soup_server_listen(server.get(), local.get(),
                       static_cast<SoupServerListenOptions>(0), nullptr);
    soup_server_add_handler(server.get(), nullptr, onRequest, this, nullptr);
    CallRequest request;
    request.method = "GET";
    request.target = "/";
    exchange =
        Exchange::start(&session, request, {address, {}, false},
                        [this](const Exchange::Result &) { hasHead = true; });
    CHECK(Fleet::waitUntil([this] { return message != nullptr; }));
  }
  ~HeedlessServer() { soup_server_disconnect(server.get()); }
  HeedlessServer(const HeedlessServer &) = delete;
  HeedlessServer &operator=(const HeedlessServer &) = delete;
  HeedlessServer(HeedlessServer &&) = delete;
  HeedlessServer &operator=(HeedlessServer &&) = delete;

  void giveUp() {
    exchange->giveUp([this] { isOver = true; });
  }

  void answer(std::size_t bytes) {
    const std::string body(bytes, 'x');
    soup_server_message_set_status(message.get(), SOUP_STATUS_OK, nullptr);
    soup_server_message_set_response(message.get(), "text/plain",
                                     SOUP_MEMORY_COPY, body.data(),
                                     body.size());
    soup_server_message_unpause(message.get());
  }

  /** Lets what is ready happen, many times over. */
  static void settle() { pause(milliseconds(100)); }

  bool hasHead = false;
  bool isOver = false;

private:
  GObjectPtr<SoupServer> server;
  HttpSession session;
  GObjectPtr<SoupServerMessage> message;
  boost::intrusive_ptr<Exchange> exchange;

  static void onRequest(SoupServer * /*server*/, SoupServerMessage *message,
                        const char * /*path*/, GHashTable * /*query*/,
                        gpointer data) {
    auto *const self = static_cast<HeedlessServer *>(data);
    self->message = refGObject(message);
    soup_server_message_pause(message);
  }
};

} // namespace

TEST_GROUP(GivenUpCalls){};

TEST(GivenUpCalls, ThawedTargetHasNoMoreThanItsSlotsToRun) {
  constexpr unsigned Slots = 6;
  Fleet fleet(makeStatusPlan(1, 1, Slots, milliseconds(5)));
  CHECK(fleet.start());
  const auto vm = fleet.vmOf("status");
  const auto runs = [&] {
    return fleet.targetStats(vm).at("runs").get<unsigned>();
  };
  const auto handedOver = [&] {
    return fleet.metric(vm, "gate_handed_over_total");
  };
  const unsigned before = runs();
  const auto handedOverBefore = handedOver();
  fleet.vms[vm]->targetProcess->suspend();
  // Each is given up by its caller long before the target runs again.
  for (unsigned n = 0; n < 5 * Slots; ++n)
    fleet.http.send(fleet.vms[vm]->callers, "GET", "/status/1", {}, "",
                    milliseconds(60));
  fleet.vms[vm]->targetProcess->signal(SIGCONT);
  CHECK(Fleet::waitUntil(
      [&] { return fleet.status(vm).at("gate").at("inFlight") == 0; }));
  CHECK(Fleet::waitUntil(
      [&] { return fleet.targetStats(vm).at("running") == 0; }));
  // The target may drop what it reads together with the end of its connection.
  CHECK(handedOver() > handedOverBefore);
  CHECK(handedOver() - handedOverBefore <= Slots);
  CHECK(runs() - before <= Slots);
  CHECK_EQUAL(0, fleet.targetStats(vm).at("overruns").get<int>());
}

TEST(GivenUpCalls, TargetThatPaysNoHeedHasTheCallUntilItHasAnswered) {
  HeedlessServer server;
  server.giveUp();
  HeedlessServer::settle();
  CHECK_FALSE(server.isOver);
  server.answer(100);
  CHECK(Fleet::waitUntil([&] { return server.isOver; }));
  CHECK_FALSE(server.hasHead);
}

TEST(GivenUpCalls, AnswerThatWasHereAlreadyEndsTheCall) {
  HeedlessServer server;
  server.answer(100);
  CHECK(Fleet::waitUntil([&] { return server.hasHead; }));
  server.giveUp();
  CHECK(Fleet::waitUntil([&] { return server.isOver; }));
}

TEST(GivenUpCalls, TargetThatSendsOnIsCut) {
  HeedlessServer server;
  server.giveUp();
  server.answer(64 * Exchange::MaxDiscarded);
  CHECK(Fleet::waitUntil([&] { return server.isOver; }));
}

TEST(GivenUpCalls, NodeStopsThoughATargetNeverLetsGo) {
  Fleet fleet(makeStatusPlan(1, 1, 6, milliseconds(5)));
  CHECK(fleet.start());
  Vm &vm = *fleet.vms.front();
  vm.targetProcess->signal(SIGSTOP);
  fleet.http.send(vm.callers, "GET", "/status/1", {}, "", milliseconds(60));
  CHECK(Fleet::waitUntil(
      [&] { return fleet.metric(0, "gate_given_up_total") == 1; }));
  CHECK_EQUAL(1, fleet.status(0).at("gate").at("inFlight").get<int>());
  vm.node->signal(SIGTERM);
  CHECK(Fleet::waitUntil([&] { return !vm.node->isRunning(); }));
}
