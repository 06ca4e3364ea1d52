/** \file
 * Settings files that change while a node runs. */
#include "operator/MainLoop.h"
#include "platform/SiteFixture.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

using namespace plantainhatch;
using namespace plantainhatch::test;
using std::chrono::milliseconds;

namespace {

/** Longer than a changed file takes to be in force. */
constexpr milliseconds TimeToLearn{600};

} // namespace

TEST_GROUP(SettingsChange) {
  SiteFixture site{{"zone-0", "zone-0"}};
  unsigned calls = 0;

  /** The service that workers are told as that of a caller on machine 0. */
  std::string callerService() {
    const std::string id = "call-" + std::to_string(++calls);
    CHECK_EQUAL(200, site.call(0, "GET", "/read/x", id).status);
    for (const auto &it : site.machines)
      if (it->target->runsOf(id) > 0)
        return findHeader(it->target->lastHeaders(),
                          "X-Plantainhatch-Caller-Service")
            .value_or("");
    return {};
  }

  bool hasLogged(const std::string &text) {
    std::ifstream log(site.machines[0]->logFile);
    std::stringstream content;
    content << log.rdbuf();
    return content.str().find(text) != std::string::npos;
  }
};

// Guards against requests that name the former service of a machine as their
// caller, after its address went to a worker of another one.
TEST(SettingsChange, NextServiceOfTheMachineIsNamedAsTheCaller) {
  CHECK(site.start());
  STRCMP_EQUAL("shop", callerService().c_str());
  site.writeSettingsFile(0, site.makeSettingsFile(0, "wuno96b"));
  site.machines[0]->node->signal(SIGHUP);
  pause(TimeToLearn);
  STRCMP_EQUAL("wuno96b", callerService().c_str());
}

// Guards against the same where the file changes without a signal, in place or
// by another file of its name.
TEST(SettingsChange, FileThatChangesWithoutASignalIsReadAgain) {
  CHECK(site.start());
  site.writeSettingsFile(0, site.makeSettingsFile(0, "wuno96b"));
  pause(TimeToLearn);
  STRCMP_EQUAL("wuno96b", callerService().c_str());
  const std::string &file = site.machines[0]->settingsFile;
  const std::string other = file + ".new";
  std::ofstream(other) << site.makeSettingsFile(0, "third");
  CHECK_EQUAL(0, std::rename(other.c_str(), file.c_str()));
  pause(TimeToLearn);
  STRCMP_EQUAL("third", callerService().c_str());
}

// Guards against a node that ends, or forgets its settings, as their file is
// broken, half written or gone.
TEST(SettingsChange, FileThatCannotBeReadChangesNothing) {
  CHECK(site.start());
  const std::string sound = site.makeSettingsFile(0, "wuno96b");
  for (const std::string &content :
       {std::string(), sound.substr(0, sound.size() / 2),
        std::string(R"({"cluster": 3})")}) {
    site.writeSettingsFile(0, content);
    pause(TimeToLearn);
    STRCMP_EQUAL("shop", callerService().c_str());
  }
  CHECK(hasLogged("cluster: must be a non-empty string"));
  std::remove(site.machines[0]->settingsFile.c_str());
  pause(TimeToLearn);
  STRCMP_EQUAL("shop", callerService().c_str());
  CHECK(hasLogged("No such file"));
  site.writeSettingsFile(0, sound);
  pause(TimeToLearn);
  STRCMP_EQUAL("wuno96b", callerService().c_str());
}

// Guards against a request that is told to one worker as another service's than
// to the next, as the settings changed while it was at work.
TEST(SettingsChange, RequestThatBeganBeforeTheChangeKeepsItsCaller) {
  CHECK(site.start());
  for (const auto &it : site.machines)
    it->target->setManner(SiteTarget::Manner::Hold);
  const auto answer =
      site.callLater(0, "GET", "/read/x", "before", std::chrono::seconds(5));
  CHECK(Fleet::waitUntil([&] { return site.runsOf("before") == 1; }));
  site.writeSettingsFile(0, site.makeSettingsFile(0, "wuno96b"));
  pause(TimeToLearn);
  const bool isAtFirst = site.machines[0]->target->runsOf("before") == 1;
  SiteTarget &first = *site.machines[isAtFirst ? 0 : 1]->target;
  SiteTarget &second = *site.machines[isAtFirst ? 1 : 0]->target;
  second.release();
  first.fail();
  CHECK(Fleet::waitUntil([&] { return answer->status != 0; }));
  CHECK_EQUAL(200, answer->status);
  CHECK_EQUAL(1, second.runsOf("before"));
  STRCMP_EQUAL(
      "shop", findHeader(second.lastHeaders(), "X-Plantainhatch-Caller-Service")
                  .value_or("")
                  .c_str());
}
