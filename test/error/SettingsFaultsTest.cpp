/** \file
 * Every fault of the settings is reported with its field, and ends the program
 * with exit code 2. */
#include "base/Settings.h"
#include "support/Fleet.h"

#include <nlohmann/json.hpp>

#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <fstream>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;

namespace {

json goodSettings() {
  return {{"cluster", "test"},        {"failureDomain", "d"},
          {"callers", "127.0.0.1:1"}, {"peers", "127.0.0.1:2"},
          {"targets", "127.0.0.1:3"}, {"platform", "http://127.0.0.1:4"},
          {"keyFile", "cluster.key"}};
}

struct Fault {
  const char *field;
  json value;
  const char *part;
};

} // namespace

TEST_GROUP(SettingsFaults) {
  Fleet fleet{FleetPlan{}};

  Findings findingsFor(const std::string &content) {
    const auto read = readNodeSettings(fleet.write("node.json", content));
    return read ? Findings{} : read.error();
  }

  int runNode(const json &settings) {
    ChildProcess node({binFolder() + "/plantainhatchd", "--settings",
                       fleet.write("node.json", settings.dump())},
                      fleet.write("node.log", ""));
    return node.wait();
  }
};

TEST(SettingsFaults, ReloadSignalDuringTheStartDoesNotEndTheProgram) {
  const std::string pipe = fleet.write("place", "") + ".pipe";
  CHECK_EQUAL(0, mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR));
  ChildProcess node({binFolder() + "/plantainhatchd", "--settings", pipe},
                    fleet.write("node.log", ""));
  // Opens once the program reads its settings, which then waits for them.
  std::ofstream settings(pipe);
  node.signal(SIGHUP);
  settings << "{}";
  settings.close();
  CHECK_EQUAL(2, node.wait());
}

TEST(SettingsFaults, GoodSettingsHaveNoFindings) {
  CHECK(findingsFor(goodSettings().dump()).empty());
}

TEST(SettingsFaults, EachFaultNamesItsField) {
  const Fault faults[] = {
      {"cluster", 3, "must be a non-empty string"},
      {"cluster", "a b", "may only hold"},
      {"failureDomain", "", "must be a non-empty string"},
      {"callers", "localhost:80", "is not an IP number with a port"},
      {"callers", "127.0.0.1:0", "is not an IP number with a port"},
      {"peers", "127.0.0.1:1", "same address as callers"},
      {"targets", "127.0.0.1:99999", "is not an IP number with a port"},
      {"platform", "ftp://127.0.0.1:4", "is not a URL"},
      {"seeds", "127.0.0.1:5", "must be an array"},
      {"keyFile", "absent.key", "No such file"},
      {"colour", "red", "is not a known setting"}};
  for (const Fault &fault : faults) {
    json settings = goodSettings();
    settings[fault.field] = fault.value;
    const Findings findings = findingsFor(settings.dump());
    const bool isFound = std::ranges::any_of(findings, [&](const Finding &it) {
      return it.field == fault.field &&
             it.message.find(fault.part) != std::string::npos;
    });
    CHECK_TEXT(isFound, (fault.field + toString(findings)).c_str());
  }
}

TEST(SettingsFaults, AllFaultsAreReportedAtOnce) {
  CHECK_EQUAL(7, findingsFor("{}").size());
  const Findings broken = findingsFor("{\n  \"cluster\": \n}");
  CHECK_EQUAL(1, broken.size());
  CHECK_EQUAL(3, broken[0].line);
}

// Guards against a program that ends by an exception, at its start or while it
// runs, as a figure in its settings is larger than any number.
TEST(SettingsFaults, FigureThatNoNumberCanHoldIsReported) {
  std::string settings = goodSettings().dump();
  settings.insert(1, R"("colour": 1e400, )");
  CHECK_FALSE(findingsFor(settings).empty());
}

TEST(SettingsFaults, ProgramEndsWithCodeTwo) {
  json settings = goodSettings();
  settings["colour"] = "red";
  CHECK_EQUAL(2, runNode(settings));
}

TEST(SettingsFaults, AddressInUseEndsWithCodeTwo) {
  for (const char *const field : {"callers", "peers", "targets"}) {
    const GObjectPtr<GSocketListener> taken(g_socket_listener_new());
    const Address address = freeAddress();
    const GObjectPtr<GSocketAddress> local(
        g_inet_socket_address_new_from_string(address.host.c_str(),
                                              address.port));
    g_socket_listener_add_address(taken.get(), local.get(),
                                  G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                  nullptr, nullptr, nullptr);
    json settings = goodSettings();
    for (const char *const other : {"callers", "peers", "targets"})
      settings[other] = freeAddress().toString();
    settings[field] = address.toString();
    CHECK_EQUAL_TEXT(2, runNode(settings), field);
  }
}

TEST(SettingsFaults, OperatorsProgramTellsUsageFromRefusal) {
  CHECK_EQUAL(2, fleet.command({"nonsense"}).code);
  CHECK_EQUAL(2, fleet.command({"domain", "sideways", "d", "--who", "T"}).code);
  CHECK_EQUAL(2, fleet.command({"domain", "out", "d"}).code);
  CHECK_EQUAL(2, fleet.command({"vm", "out", "host", "--who", "T"}).code);
  CHECK_EQUAL(1, fleet.command({"check", fleet.write("r", "nonsense\n")}).code);
  CHECK_EQUAL(1, fleet.command({"show"}).code);
}
