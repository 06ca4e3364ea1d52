/** \file
 * What the operator's program finds of a fleet through a few of its nodes. */
#include "operator/NodeClient.h"
#include "support/Fleet.h"
#include "support/ScriptedServer.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using nlohmann::json;

namespace {

json makeMember(const std::string &callers, const std::string &liveness,
                unsigned incarnation = 1) {
  return {{"callers", callers},   {"peers", callers},
          {"liveness", liveness}, {"failureDomain", "a"},
          {"generation", 1},      {"incarnation", incarnation}};
}

ScriptedServer::Script answerWith(const std::vector<json> &members) {
  const std::string body = json{{"members", json(members)}}.dump();
  return [text = "HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" +
                 body](ScriptedServer::Connection &it) {
    while (it.readRequest())
      it.write(text);
  };
}

} // namespace

TEST_GROUP(NodeList){};

// Guards against a time line and a status that lack most of the fleet, as the
// first node that answers has only just started.
TEST(NodeList, NodeThatHasJustStartedHidesNoOther) {
  const Address started = freeAddress();
  const Address old = freeAddress();
  const ScriptedServer first(
      started, answerWith({makeMember(started.toString(), "alive")}));
  const ScriptedServer second(
      old, answerWith({makeMember(old.toString(), "alive"),
                       makeMember(started.toString(), "dead"),
                       makeMember("127.0.0.9:9", "alive")}));
  const auto found = NodeClient().listNodes({started, old});
  CHECK_EQUAL(3, found.size());
}

TEST(NodeList, NewestRecordOfANodeIsTaken) {
  const Address one = freeAddress();
  const Address other = freeAddress();
  const std::string subject = "127.0.0.9:9";
  const ScriptedServer first(one,
                             answerWith({makeMember(subject, "alive", 1)}));
  const ScriptedServer second(other,
                              answerWith({makeMember(subject, "dead", 2)}));
  for (const auto &entry : {std::vector{one, other}, std::vector{other, one}}) {
    const auto found = NodeClient().listNodes(entry);
    CHECK_EQUAL(1, found.size());
    STRCMP_EQUAL("dead", found.front().liveness.c_str());
  }
}
