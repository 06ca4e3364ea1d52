/** \file
 * The health checks of one target, without a node around them. */
#include "platform/TargetProbe.h"
#include "node/GateTask.h"
#include "operator/MainLoop.h"
#include "platform/CallProtocol.h"
#include "platform/TargetRegistry.h"
#include "platform/decodeConfiguration.h"
#include "support/Fleet.h"
#include "support/ScriptedServer.h"

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;

namespace {

constexpr const char *Document =
    R"({"routes":{"r":{"host":"h","prefix":"/r/","kind":"safe","service":"s"}},)"
    R"("services":{"s":{"health_check_path":"/health"}}})";

NodeSettings makeSettings(const Address &target) {
  NodeSettings settings;
  settings.cluster = "probe";
  settings.failureDomain = "zone-0";
  settings.callers = freeAddress();
  settings.peers = freeAddress();
  settings.targets = freeAddress();
  settings.platform = "http://" + freeAddress().toString();
  settings.key = "0123456789abcdef";
  settings.site = SiteSettings{};
  settings.site->forwards = freeAddress();
  settings.site->target = target;
  settings.site->service = "s";
  settings.site->probesPerSecond = 60;
  return settings;
}

Target makeTarget(const Address &address) {
  Target target;
  target.service = "s";
  target.address = address;
  target.slots = target.coldSlots = 9;
  target.bootId = "i-0";
  target.state = TargetState::Cold;
  return target;
}

} // namespace

TEST_GROUP(TargetProbes) {
  Address target = freeAddress();
  NodeServices services{makeSettings(target),
                        platform::makePlatformCallProtocol()};
  std::unique_ptr<PeerTask> peers =
      std::move(PeerTask::start(services)).value();
  ConfigurationTask configuration{services, *peers,
                                  Configuration::buildFromRecords};
  CrashTask crashes{services, *peers, configuration};
  DepartureTask departures{services, *peers};
  GateTask gate{services, *peers, configuration, crashes};
  std::unique_ptr<platform::TargetRegistry> registry =
      std::move(platform::TargetRegistry::start(services, gate, configuration,
                                                *peers, departures))
          .value();

  void setup() override {
    configuration.onBuilt(
        Configuration::makeFromRecords(
            platform::makeConfigurationHead(1),
            platform::encodeRows({{"config", Document}}).value(),
            *Configuration::makeEmpty())
            .value(),
        "the test");
    gate.announce(makeTarget(target));
  }
};

// Guards against an answer that is reported to a probe which is gone.
TEST(TargetProbes, DestroyedProbeEndsItsHealthCheck) {
  const ScriptedServer server(target, [](ScriptedServer::Connection &it) {
    while (it.readRequest())
      ;
  });
  auto probe = std::make_unique<platform::TargetProbe>(
      services, gate, configuration, *registry);
  CHECK(Fleet::waitUntil([&] { return server.openConnections() == 1; }));
  probe.reset();
  CHECK(Fleet::waitUntil([&] { return server.openConnections() == 0; },
                         std::chrono::seconds(1)));
}
