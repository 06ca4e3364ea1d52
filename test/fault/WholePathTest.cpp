/** \file
 * The path of a call through real processes, without faults. */
#include "request/HeaderNames.h"
#include "standins/Target.h"
#include "support/FaultFixture.h"
#include "support/ProcessUsage.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;

namespace {

std::string bundleDigest(std::uint64_t size) {
  constexpr std::uint64_t Step = 1024UL * 1024;
  GChecksum *const checksum = g_checksum_new(G_CHECKSUM_SHA256);
  std::string part(Step, '\0');
  for (std::uint64_t offset = 0; offset < size; offset += Step) {
    for (std::uint64_t n = 0; n < Step; ++n)
      part[n] = bundleByte(offset + n);
    g_checksum_update(checksum, reinterpret_cast<const guchar *>(part.data()),
                      Step);
  }
  std::string digest = g_checksum_get_string(checksum);
  g_checksum_free(checksum);
  return digest;
}

} // namespace

TEST_GROUP(WholePath){};

TEST(WholePath, CallsReachTheServiceOfTheirPathThroughAnyNode) {
  Fleet fleet(makePlan(2, 1));
  CHECK(fleet.start());
  for (const Address &node : fleet.callers()) {
    const auto answer = fleet.http.send(node, "PUT", "/status/7?x=%20y",
                                        {{"X-Request-Id", "my-id"}}, "content");
    CHECK_EQUAL(200, answer.status);
    CHECK(answer.body.starts_with("id=my-id path=/status/7?x=%20y body="));
    STRCMP_EQUAL("my-id", answer.header("X-Request-Id").c_str());
    CHECK(answer.header("Plantainhatch-Node-Load").empty());
    const auto made = fleet.http.get(node, "/status");
    CHECK_FALSE(made.header("X-Request-Id").empty());
    CHECK_EQUAL(200, fleet.http.send(node, "HEAD", "/status").status);
  }
}

TEST(WholePath, WhatCannotBeServedIsProvablyNotRun) {
  Fleet fleet(makePlan(1, 1));
  CHECK(fleet.start());
  const Address node = fleet.callers()[0];
  struct Case {
    unsigned status;
    const char *method;
    const char *target;
    HeaderList headers;
    std::string body;
  };
  const std::vector<Case> cases{
      {404, "GET", "/nowhere", {}, ""},
      {404, "GET", "/plantainhatch/v1/nothing", {}, ""},
      {405, "POST", "/plantainhatch/v1/status", {}, ""},
      {400, "GET", "/status", {{headers::TimeoutMs, "soon"}}, ""},
      {400, "GET", "/status", {{headers::TimeoutMs, "-5"}}, ""},
      {400, "POST", "/release", {}, "no key"},
      {403, "GET", "/status", {{headers::Proof, "forged"}}, ""},
      {403,
       "GET",
       "/status",
       {{headers::Proof, "forged"},
        {headers::Time, "1"},
        {headers::TimeoutMs, "100"},
        {headers::Service, "status"}},
       ""},
      {413, "POST", "/status", {}, std::string(1024UL * 1024 + 1, 'x')},
      {431, "GET", "/status", {{"X-Long", std::string(17UL * 1024, 'x')}}, ""}};
  for (const Case &it : cases) {
    const auto answer =
        fleet.http.send(node, it.method, it.target, it.headers, it.body);
    CHECK_EQUAL_TEXT(it.status, answer.status, it.target);
    STRCMP_EQUAL_TEXT("not-run", answer.header(headers::Outcome).c_str(),
                      it.target);
  }
  CHECK_EQUAL(0, fleet.targetStats(0).at("runs").get<int>());
  CHECK(fleet.vms[0]->node->isRunning());
}

TEST(WholePath, MalformedRequestIsAnsweredAndHarmsNothing) {
  Fleet fleet(makePlan(1, 1));
  CHECK(fleet.start());
  const Address node = fleet.callers()[0];
  for (const std::string raw :
       {"nonsense\r\n\r\n", "GET /status HTTP/9.9\r\n\r\n",
        "GET status\r\nHost: x\r\n\r\n", "\r\n\r\n\r\n"}) {
    const GObjectPtr<GSocketClient> client(g_socket_client_new());
    g_socket_client_set_timeout(client.get(), 5);
    const GObjectPtr<GSocketConnection> connection(
        g_socket_client_connect_to_host(client.get(), node.toString().c_str(),
                                        node.port, nullptr, nullptr));
    GOutputStream *const out =
        g_io_stream_get_output_stream(G_IO_STREAM(connection.get()));
    g_output_stream_write_all(out, raw.data(), raw.size(), nullptr, nullptr,
                              nullptr);
    g_socket_shutdown(g_socket_connection_get_socket(connection.get()), FALSE,
                      TRUE, nullptr);
    std::string answer(4096, '\0');
    const gssize n = g_input_stream_read(
        g_io_stream_get_input_stream(G_IO_STREAM(connection.get())),
        answer.data(), answer.size(), nullptr, nullptr);
    if (n > 0) {
      CHECK_TEXT(answer.starts_with("HTTP/1."), answer.c_str());
      // 505 for a version of HTTP that does not exist.
      CHECK_TEXT(answer.at(9) == '4' || answer.substr(9, 3) == "505",
                 answer.c_str());
      CHECK_TEXT(answer.find("Plantainhatch-Outcome: not-run") !=
                     std::string::npos,
                 answer.c_str());
    }
  }
  CHECK_EQUAL(200, fleet.http.get(node, "/status").status);
}

TEST(WholePath, LargeBundleStreamsThroughBothHopsWithFlatMemory) {
  constexpr std::uint64_t Size = 512ULL * 1024 * 1024;
  constexpr std::size_t MostKib = 64UL * 1024;
  Fleet fleet(makePlan(2, 1));
  CHECK(fleet.start());
  const std::string expected = bundleDigest(Size);
  // Through the node of the other service, so that both hops are passed.
  const auto vm = fleet.vmOf("release");
  const auto got = fleet.http.download(
      fleet.vms[vm]->callers, "/status/bundle/" + std::to_string(Size));
  CHECK(got.isWhole);
  CHECK(got.length == Size);
  STRCMP_EQUAL(expected.c_str(), got.digest.c_str());
  for (const auto &it : fleet.vms)
    CHECK(ProcessUsage(it->node->id()).peakResidentKib() < MostKib);
}

TEST(WholePath, AnswerThatBreaksOffIsNeverEndedCleanly) {
  constexpr std::size_t Size = 8'000'000;
  for (const std::string kind : {"", "&chunked"}) {
    Fleet fleet(makePlan(2, 1));
    CHECK(fleet.start());
    const auto vm = fleet.vmOf("release");
    const std::string all = HttpClient::exchangeRaw(
        fleet.vms[vm]->callers, "GET /status/bundle/" + std::to_string(Size) +
                                    "?break=3000000" + kind +
                                    " HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK_TEXT(all.starts_with("HTTP/1.1 200"), kind.c_str());
    CHECK_TEXT(all.size() > 1'000'000, kind.c_str());
    CHECK_TEXT(all.size() < Size, kind.c_str());
    CHECK_TEXT(!all.ends_with("\r\n0\r\n\r\n"), kind.c_str());
  }
}

TEST(WholePath, MoveIsInForceEverywhereAndTheTimeLineTellsWhy) {
  Fleet fleet(makePlan(2, 1));
  CHECK(fleet.start());
  const auto moved =
      fleet.command({"domain", "out", "domain-0", "--who", "Night shift"});
  CHECK_EQUAL(0, moved.code);
  STRCMP_EQUAL("2\n", moved.out.c_str());
  CHECK_EQUAL(0, fleet.command({"wait", "2", "--timeout", "20"}).code);
  for (int n = 0; n < 20; ++n)
    CHECK_EQUAL(200, fleet.http.get(fleet.callers()[0], "/status").status);
  CHECK_EQUAL(0, fleet.targetStats(fleet.vmOf("status")).at("runs").get<int>());
  const auto line = fleet.command({"timeline", "--filter", "domain-out"});
  CHECK(line.out.find("asked by Night shift") != std::string::npos);
  CHECK_EQUAL(
      0,
      fleet.command({"domain", "in", "domain-0", "--who", "Day shift"}).code);
  CHECK_EQUAL(0, fleet.command({"wait", "3", "--timeout", "20"}).code);
  CHECK(Fleet::waitUntil([&] {
    fleet.http.get(fleet.callers()[0], "/status");
    return fleet.targetStats(fleet.vmOf("status")).at("runs").get<int>() > 0;
  }));
}

TEST(WholePath, VmTakenOutByItsAddressReceivesNothing) {
  Fleet fleet(makePlan(2, 1));
  CHECK(fleet.start());
  const auto vm = fleet.vmOf("status");
  const auto moved = fleet.command(
      {"vm", "out", fleet.vms[vm]->callers.toString(), "--who", "Night shift"});
  CHECK_EQUAL(0, moved.code);
  CHECK_EQUAL(
      0, fleet.command({"wait", versionIn(moved), "--timeout", "20"}).code);
  for (int n = 0; n < 20; ++n)
    CHECK_EQUAL(200, fleet.http.get(fleet.callers()[0], "/status").status);
  CHECK_EQUAL(0, fleet.targetStats(vm).at("runs").get<int>());
}
