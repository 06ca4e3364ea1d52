/** \file
 * Nodes at a site of the platform, with stand-ins for all around them. */
#ifndef PLANTAINHATCH_TEST_PLATFORM_SITEFIXTURE_H
#define PLANTAINHATCH_TEST_PLATFORM_SITEFIXTURE_H

#include "connection/Exchange.h"
#include "connection/HttpServer.h"
#include "connection/Timer.h"
#include "support/FaultyLink.h"
#include "support/Fleet.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plantainhatch::test {

/** A worker of the platform, in this process. */
class SiteTarget {
public:
  /** How calls are answered. */
  enum class Manner : std::uint8_t {
    Answer,
    Fail,
    /** With the identifier of another request. */
    Foreign,
    Unsigned,
    /** Half of the body, then a reset. */
    BreakOff,
    /** Half of the body, then nothing. */
    Stall,
    Shed,
    /** Not until release(). */
    Hold
  };

  SiteTarget(const Address &address, std::string service, std::string name);

  void setManner(Manner newManner) { manner = newManner; }
  /** How long a call takes before it is answered. */
  void setServiceTime(Duration time) { serviceTime = time; }
  /** How long work takes there, as it reports; 100 is as usual. */
  void setSlowdown(unsigned percent) { slowdownPercent = percent; }
  /** How many calls it bears at once, as it says in heartbeats. */
  void setSlots(unsigned count) { slots = count; }
  /** The version of its software, as it says in heartbeats. */
  void setSoftwareVersion(std::string version) {
    softwareVersion = std::move(version);
  }
  /** Called when a request is begun, with its identifier. */
  void onRun(std::function<void(const std::string &)> action) {
    runAction = std::move(action);
  }
  /** Answers what is held. */
  void release();
  /** The same with failures. */
  void fail();

  /** Ends without a word, and with it all connections. */
  void crash();
  /** Starts anew under another name, after crash(). \param coldTime is how long
   * it says that it bears only a little. */
  void restart(std::string name, Duration coldTime);
  bool isUp() const { return server != nullptr; }
  bool isCold() const { return coldLeft() > std::chrono::milliseconds(0); }

  /** How often a request was begun. */
  unsigned runsOf(const std::string &requestId) const;
  unsigned runCount() const;
  std::size_t heldCount() const { return held.size(); }
  /** The headers of the last call. */
  const HeaderList &lastHeaders() const { return seenHeaders; }
  const std::string &name() const { return targetName; }
  /** \param shownAddress is where its node reaches it. */
  nlohmann::json heartbeat(const std::string &state,
                           const Address &shownAddress);

private:
  Address address;
  std::string service;
  std::string targetName;
  Manner manner = Manner::Answer;
  std::map<std::string, unsigned> runs;
  std::vector<IncomingCallPtr> held;
  HeaderList seenHeaders;
  std::uint64_t sequence = 0;
  /** Counts the starts. */
  unsigned births = 1;
  TimePoint coldUntil;
  Duration serviceTime{};
  unsigned slowdownPercent = 100;
  unsigned slots = 9;
  std::string softwareVersion = "v1";
  std::function<void(const std::string &)> runAction;
  /** Calls at work; they end with the target. */
  std::list<std::unique_ptr<Timer>> work;
  std::unique_ptr<HttpServer> server;

  void listen();
  std::chrono::milliseconds coldLeft() const;
  void serve(const IncomingCallPtr &call);
  void answerLater(const IncomingCallPtr &call, const std::string &id);
  void answerCall(const IncomingCallPtr &call, const std::string &id);
  void answerHeld();
};

/** One machine of the site. */
struct SiteMachine {
  Address callers;
  Address peers;
  Address targets;
  Address forwards;
  Address readiness;
  Address metrics;
  Address targetAddress;
  /** The address at which the node reaches its target and the store: those of
   * the links, if there are any. */
  Address shownTarget;
  Address shownStore;
  std::unique_ptr<FaultyLink> targetLink;
  std::unique_ptr<FaultyLink> storeLink;
  std::string failureDomain;
  std::string settingsFile;
  std::string logFile;
  std::unique_ptr<SiteTarget> target;
  std::unique_ptr<ChildProcess> node;
};

/** How nodes reach their target and the store. */
enum class SiteLinks : std::uint8_t { Direct, Faulty };

/** A store, machines, and an operator. Its destructor ends what it started. */
class SiteFixture {
public:
  /** \param failureDomains has one entry for each machine. */
  explicit SiteFixture(const std::vector<std::string> &failureDomains,
                       SiteLinks links = SiteLinks::Direct);

  /** Writes a configuration and waits until all nodes are ready and know all
   * targets. \return false if that takes too long. */
  bool start();
  void startNode(std::size_t n);
  /** Writes \p content into the settings file of a machine, in place. */
  void writeSettingsFile(std::size_t n, const std::string &content);
  /** The content of the settings file of a machine, with \p service as that of
   * its worker. */
  std::string makeSettingsFile(std::size_t n, const std::string &service) const;
  /** Writes a row of the operator's table; removes it without a value. */
  void writeRow(const std::string &key,
                const std::optional<std::string> &value) {
    writeRowOf("op", key, value);
  }
  /** The same for any table. */
  void writeRowOf(const std::string &table, const std::string &key,
                  const std::optional<std::string> &value);
  /** The value of a row of any table; empty if there is none. */
  std::string rowOf(const std::string &table, const std::string &key);
  /** Writes the configuration of this version, which alone has a route with
   * the prefix /v<version>/. */
  void writeConfiguration(unsigned version);
  /** Sends an order to the store's stand-in. \return the status of the answer.
   */
  unsigned setStore(const nlohmann::json &order);
  /** Sends a heartbeat. \return the status of the answer. */
  unsigned beat(std::size_t n, const std::string &state);

  /** Sends a call with an identifier and waits for its whole answer. */
  HttpAnswer call(std::size_t n, const std::string &method,
                  const std::string &path, const std::string &id,
                  std::chrono::milliseconds deadline = std::chrono::seconds(2));
  /** The same without waiting. */
  std::shared_ptr<HttpAnswer>
  callLater(std::size_t n, const std::string &method, const std::string &path,
            const std::string &id,
            std::chrono::milliseconds deadline = std::chrono::seconds(2));
  /** A call under way. */
  struct PendingCall {
    boost::intrusive_ptr<Exchange> exchange;
    /** Its status is 0 until the end, and 1 if the connection broke. */
    std::shared_ptr<HttpAnswer> answer;

    /** Closes the connection; the answer stays without a status. */
    void giveUp() const { exchange->cancel(); }
  };
  /** Sends a call, on a connection that other calls have used if \p mayReuse.
   */
  PendingCall send(std::size_t n, const CallRequest &request, bool mayReuse);
  bool isReady(std::size_t n);
  /** Runs of a request at all targets. */
  unsigned runsOf(const std::string &id) const;

  std::vector<std::unique_ptr<SiteMachine>> machines;
  HttpClient http;

private:
  Fleet files;
  Address store;
  std::unique_ptr<ChildProcess> storeProcess;
  HttpSession session;

  static std::string makeSettings(const SiteMachine &machine,
                                  const std::string &service);
};

} // namespace plantainhatch::test

#endif
