/** \file
 * What callers and targets saw, held against what the system promises. */
#ifndef PLANTAINHATCH_TEST_SOAK_PROMISELEDGER_H
#define PLANTAINHATCH_TEST_SOAK_PROMISELEDGER_H

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainhatch::test {

/** The bounds that operators of a site name. */
struct PromiseBounds {
  /** After it was acknowledged that a target leaves, nothing reaches it. */
  std::chrono::milliseconds drain{2'000};
  /** The same for a failure domain that is taken out. */
  std::chrono::milliseconds domainOut{5'000};
  /** A party counts as calm if nothing befell it for this long. */
  std::chrono::milliseconds calmWindow{3'000};
  /** Calls in any second that a cold target bears. */
  std::size_t coldCallsPerSecond = 35;
  /** Calls that may be cut at calm machines after they reached a target. */
  std::size_t cutCalls = 3;
};

/** What befalls a machine. */
enum class Disturbance : std::uint8_t {
  /** Work that operators plan. */
  Planned,
  /** Its node, or the node's link to the store. */
  Node,
  /** Its target, or the node's link to the target. */
  Target
};

/** Gathers events and tells which promises were broken. Reads no clock. Not
 * thread-safe. */
class PromiseLedger {
public:
  explicit PromiseLedger(const PromiseBounds &bounds = {}) : bounds(bounds) {}

  /** A caller has sent a call to machine \p machine. */
  void sent(const std::string &call, bool isRepeatable, std::size_t machine,
            TimePoint at);
  /** A target has begun to run a call. */
  void ran(const std::string &call, const std::string &target,
           const std::string &domain, std::size_t machine, TimePoint at);
  /** A caller has got a whole answer. */
  void answered(const std::string &call, unsigned status,
                const std::string &body, TimePoint at);
  /** A caller's connection ended before the answer did. */
  void cut(const std::string &call, TimePoint at);
  /** A caller has closed its connection before the answer came. */
  void gaveUp(const std::string &call, TimePoint at);

  /** Something befalls a machine from now to \p until. */
  void disturbed(std::size_t machine, Disturbance kind, TimePoint at,
                 TimePoint until);
  /** The same for the store, and so for all machines. */
  void storeDisturbed(TimePoint at, TimePoint until);

  /** A node has acknowledged that a target leaves. */
  void leaveAcknowledged(const std::string &target, TimePoint at);
  void becameCold(const std::string &target, TimePoint until);
  void domainTakenOut(const std::string &domain, TimePoint at);
  void domainTakenBack(const std::string &domain) { domainsOut.erase(domain); }

  /** One start of a node has served a call that only \p version allows, sent at
   * \p sentAt and answered at \p at. */
  void servedVersion(const std::string &nodeStart, unsigned version,
                     TimePoint sentAt, TimePoint at);

  /** Every promise that is broken, one text each; call it at the end. */
  std::vector<std::string> findBroken() const;

  std::size_t callCount() const { return calls.size(); }
  /** Calls that were answered with success. */
  std::size_t servedCount() const;
  /** Calls that have had no end yet. */
  std::vector<std::string> openCalls() const;

private:
  struct Call {
    bool isRepeatable = true;
    std::size_t machine = 0;
    TimePoint sentAt;
    TimePoint endedAt;
    unsigned runs = 0;
    bool hasEnded = false;
    bool wasCut = false;
    unsigned status = 0;
    std::string body;
  };
  struct Span {
    TimePoint from;
    TimePoint until;
    Disturbance kind = Disturbance::Node;
  };
  struct ColdRun {
    TimePoint sentAt;
    TimePoint at;
  };
  struct SeenVersion {
    unsigned version = 0;
    TimePoint seenAt;
  };

  PromiseBounds bounds;
  std::map<std::string, Call> calls;
  std::map<std::size_t, std::vector<Span>> spans;
  std::vector<Span> storeSpans;
  std::map<std::string, TimePoint> leaving;
  std::map<std::string, TimePoint> coldUntil;
  std::map<std::string, std::vector<ColdRun>> coldRuns;
  std::map<std::string, TimePoint> domainsOut;
  std::map<std::string, std::vector<SeenVersion>> versions;
  std::vector<std::string> broken;

  /** True if nothing but \p allowed was there meanwhile. */
  static bool isCalm(const std::vector<Span> &list, TimePoint from,
                     TimePoint until, std::optional<Disturbance> allowed);
  bool isMachineCalm(std::size_t machine, TimePoint from, TimePoint until,
                     std::optional<Disturbance> allowed) const;
  bool isFleetCalm(TimePoint from, TimePoint until,
                   std::optional<Disturbance> allowed) const;
  void checkCalls(std::vector<std::string> &found) const;
  void checkCuts(std::vector<std::string> &found) const;
  void checkColdRuns(std::vector<std::string> &found) const;
};

} // namespace plantainhatch::test

#endif
