/** \file
 * Odd requests, answers, datagrams and frames at each listener of real nodes:
 * none ends a process, and each request has a status that tells what is wrong.
 */
#include "connection/BulkMessage.h"
#include "connection/MessageCodec.h"
#include "platform/SiteFixture.h"
#include "support/ScriptedServer.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <arpa/inet.h>

#include <list>
#include <sstream>
#include <thread>

using namespace plantainhatch;
using namespace plantainhatch::test;

namespace {

constexpr std::size_t ManyBytes = 40'000;
const std::string Ending = " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

/** One odd request, and the statuses that fit it at any listener. */
struct OddRequest {
  const char *name;
  std::string bytes;
  std::vector<unsigned> statuses;
};

/** The path may have another owner, or the method may not fit. A node that
 * knows no rule for a call may not be sure of that, or the call lacks its
 * identifier. */
const std::vector<unsigned> Refusals{400, 403, 404, 405, 503};
const std::vector<unsigned> Malformed{400};

const std::vector<OddRequest> &oddRequests() {
  static const std::vector<OddRequest> List{
      {"the shortest path", "GET /" + Ending, Refusals},
      {"a path shorter than the prefix", "GET /plantainhatch" + Ending,
       Refusals},
      {"the prefix without its end", "GET /plantainhatch/v1" + Ending,
       Refusals},
      {"the prefix alone", "GET /plantainhatch/v1/" + Ending, Refusals},
      {"only a query", "GET /?since=1" + Ending, Refusals},
      {"a path of another length", "GET /instances/" + Ending, Refusals},
      {"a full address", "GET http://h/x" + Ending, Refusals},
      {"an asterisk", "OPTIONS *" + Ending, Refusals},
      {"a tunnel", "CONNECT h:80" + Ending, Refusals},
      {"a changing method", "DELETE /x" + Ending, Refusals},
      {"an unusual method", "PROPFIND /x" + Ending, Refusals},
      {"escapes that are none", "GET /%zz%" + Ending, Refusals},
      {"a path of bytes", "PUT /instances/%00%ff" + Ending, Refusals},
      {"a long path", "GET /" + std::string(ManyBytes, 'p') + Ending, {431}},
      {"many headers",
       "GET / HTTP/1.1\r\nA: " + std::string(ManyBytes, 'h') + "\r\n\r\n",
       {431}},
      {"a method that does not exist", "JUMP /" + Ending, Malformed},
      {"a version that does not exist", "GET / HTTP/9.9\r\nHost: h\r\n\r\n",
       Malformed},
      {"no version", "GET /\r\n\r\n", Malformed},
      {"a version of another protocol", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
       Malformed},
      {"no request at all", "hello\r\n\r\n", Malformed},
      {"bytes", std::string("\x16\x03\x01\x00\xff", 5) + "\r\n\r\n", Malformed},
      {"two lengths",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
       "Content-Length: 2\r\n\r\nab",
       Malformed},
      {"a length below zero",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", Malformed},
      {"a body over the limit",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n",
       {413}},
      {"a proof of nothing",
       "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
       "Plantainhatch-Node-Proof: x\r\n\r\n",
       Refusals},
  };
  return List;
}

/** Starts of answers that are none. */
const std::string OddStarts[] = {
    "HTTP/1.1 000 None", "HTTP/1.1 099 Low",      "HTTP/1.1 20 Short",
    "HTTP/1.1 0200 OK",  "HTTP/1.1 600 High",     "HTTP/1.1 999 High",
    "HTTP/1.1 -20 None", "HTTP/1.1 101 Unasked",  "HTTP/9.9 200 OK",
    "HTTP/0.9 200 OK",   "HTTP/1.1 100 Continue", "\r\nHTTP/1.1 200 OK"};

/** Requests that end in the middle; no answer is due. */
const std::string CutRequests[] = {
    "",
    "G",
    "GET /",
    "GET / HTTP/1.1\r\n",
    "GET / HTTP/1.1\r\nHost",
    "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"};

unsigned statusOf(const std::string &answer) {
  std::istringstream stream(answer);
  std::string protocol;
  unsigned status = 0;
  stream >> protocol >> status;
  return status;
}

std::string makeHealth(const std::string &name) {
  return "HTTP/1.1 200 OK\r\nX-Plantainhatch-Instance-Id: " + name +
         "\r\nContent-Length: 0\r\n\r\n";
}

/** A worker that answers each call with \p answer. */
class OddWorker {
public:
  OddWorker(const Address &address, const std::string &name,
            const std::string &answer)
      : server(address, [name, answer](ScriptedServer::Connection &it) {
          while (const auto request = it.readRequest())
            if (!it.write(request->starts_with("GET /health") ? makeHealth(name)
                                                              : answer))
              return;
        }) {}

private:
  ScriptedServer server;
};

/** Sends \p bytes and closes the connection without waiting. */
void sendAndClose(const Address &address, const std::string &bytes) {
  const GObjectPtr<GSocketClient> client(g_socket_client_new());
  const GObjectPtr<GSocketConnection> connection(
      g_socket_client_connect_to_host(client.get(), address.toString().c_str(),
                                      address.port, nullptr, nullptr));
  if (connection)
    g_output_stream_write_all(
        g_io_stream_get_output_stream(G_IO_STREAM(connection.get())),
        bytes.data(), bytes.size(), nullptr, nullptr, nullptr);
}

void sendDatagram(const Address &address, const std::string &bytes) {
  const GObjectPtr<GSocket> socket(
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
                   G_SOCKET_PROTOCOL_UDP, nullptr));
  const GObjectPtr<GSocketAddress> receiver(
      g_inet_socket_address_new_from_string(address.host.c_str(),
                                            address.port));
  g_socket_send_to(socket.get(), receiver.get(), bytes.data(), bytes.size(),
                   nullptr, nullptr);
}

std::string makeFrame(const std::string &payload) {
  const std::uint32_t n = htonl(static_cast<std::uint32_t>(payload.size()));
  return std::string(reinterpret_cast<const char *>(&n), sizeof(n)) + payload;
}

} // namespace

TEST_GROUP(OddMessages) {
  SiteFixture site{{"zone-0", "zone-0"}};

  std::vector<std::pair<std::string, Address>> listeners() {
    const SiteMachine &it = *site.machines[0];
    return {{"callers", it.callers},
            {"targets", it.targets},
            {"forwards", it.forwards},
            {"readiness", it.readiness},
            {"metrics", it.metrics}};
  }

  void checkServes(const std::string &after) {
    CHECK_TEXT(site.machines[0]->node->isRunning(), after.c_str());
    CHECK_TEXT(site.isReady(0), after.c_str());
  }

  void checkPages(const std::string &after) {
    for (const char *const page : {"status", "events"}) {
      const auto answer = site.http.get(
          site.machines[0]->metrics, std::string("/plantainhatch/v1/") + page);
      CHECK_EQUAL_TEXT(200, answer.status, after.c_str());
      CHECK_TEXT(nlohmann::json::accept(answer.body), after.c_str());
    }
  }

  double metric(const std::string &name) {
    const auto answer =
        site.http.get(site.machines[0]->metrics, "/plantainhatch/v1/metrics");
    double sum = 0;
    const std::string start = "\nplantainhatch_" + name;
    for (auto at = answer.body.find(start); at != std::string::npos;
         at = answer.body.find(start, at + 1))
      sum += std::stod(answer.body.substr(answer.body.find(' ', at)));
    return sum;
  }
};

// Guards against a request that ends the process beside a target, whoever may
// send it.
TEST(OddMessages, EachRequestHasAStatusAtEachListener) {
  CHECK(site.start());
  for (const auto &[name, address] : listeners())
    for (const OddRequest &it : oddRequests()) {
      const std::string text = name + ": " + it.name;
      const unsigned status =
          statusOf(HttpClient::exchangeRaw(address, it.bytes));
      checkServes(text);
      CHECK_TEXT(std::ranges::find(it.statuses, status) != it.statuses.end(),
                 (text + " has status " + std::to_string(status)).c_str());
    }
}

TEST(OddMessages, RequestsThatAreCutShortEndNothing) {
  CHECK(site.start());
  for (const auto &[name, address] : listeners())
    for (const std::string &bytes : CutRequests) {
      sendAndClose(address, bytes);
      std::string after = name;
      after.append(" after '").append(bytes).append("'");
      checkServes(after);
    }
}

TEST(OddMessages, DatagramsAndFramesOfOthersEndNothing) {
  CHECK(site.start());
  const Address peers = site.machines[0]->peers;
  const MessageCodec foreignCodec("another key that is long enough");
  const std::string request = foreignCodec.encode(BulkRequest{});
  const std::string datagram = foreignCodec.encode(Message{});
  const std::string odd[] = {"",
                             "x",
                             std::string(16, '\0'),
                             std::string(60'000, '\xff'),
                             datagram,
                             datagram.substr(0, datagram.size() / 2),
                             request};
  for (const std::string &it : odd) {
    sendDatagram(peers, it);
    HttpClient::exchangeRaw(peers, makeFrame(it) + makeFrame(it));
    sendAndClose(peers, makeFrame(it).substr(0, 3 + it.size() / 2));
    sendAndClose(peers, std::string("\xff\xff\xff\xff", 4) + it);
    checkServes("a message of " + std::to_string(it.size()) + " bytes");
  }
}

// Guards against a count of rejected messages that is higher than their number.
TEST(OddMessages, RequestOfAnotherClusterIsCountedOnce) {
  CHECK(site.start());
  const MessageCodec codec("0123456789abcdef");
  BulkRequest request;
  request.header.cluster = "another";
  const double before = metric("control_rejected_total");
  HttpClient::exchangeRaw(site.machines[0]->peers,
                          makeFrame(codec.encode(request)));
  CHECK_EQUAL(before + 1, metric("control_rejected_total"));
}

// Guards against an identifier of bytes that takes the place of the worker,
// ends the process when a page shows it, or adds headers to calls.
TEST(OddMessages, IdentifierThatIsNoTextNamesNoWorker) {
  CHECK(site.start());
  SiteMachine &machine = *site.machines[0];
  const std::string body =
      machine.target->heartbeat("ready", machine.shownTarget).dump();
  for (const std::string id :
       {"i-\xff\xfe", "i-%ff%fe", "i-%c3", "i-%0d%0aX-Odd:%201", "i-%7f"}) {
    for (const std::string method : {"PUT", "DELETE"}) {
      std::string request = method;
      request.append(" /instances/")
          .append(id)
          .append(" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                  "Content-Length: ")
          .append(std::to_string(body.size()))
          .append("\r\n\r\n")
          .append(body);
      const unsigned status =
          statusOf(HttpClient::exchangeRaw(machine.targets, request));
      std::string after = method;
      after.append(" of ").append(id);
      checkPages(after);
      checkServes(after);
      CHECK_EQUAL_TEXT(400, status, after.c_str());
    }
  }
  machine.target->setManner(SiteTarget::Manner::Answer);
  CHECK_EQUAL(200, site.call(0, "GET", "/read/x", "after-odd").status);
}

// Guards against an odd answer that its caller gets as one, alone or before the
// next.
TEST(OddMessages, AnswerWithoutASoundStatusLineIsNoAnswer) {
  CHECK(site.start());
  for (const auto &it : site.machines)
    it->target->crash();
  const std::string proof =
      "\r\nX-Plantainhatch-Request-Attempt-Id: odd\r\n"
      "X-Plantainhatch-Server-Signature: x\r\nContent-Length: 3\r\n\r\n";
  unsigned n = 0;
  std::string faults;
  for (const std::string &start : OddStarts) {
    std::string answer = start;
    answer.append(proof)
        .append("oddHTTP/1.1 200 OK")
        .append(proof)
        .append("new");
    std::list<OddWorker> workers;
    for (const auto &it : site.machines)
      workers.emplace_back(it->targetAddress, it->target->name(), answer);
    for (const std::string call : {"GET /read/", "POST /write/"}) {
      for (std::size_t m = 0; m < site.machines.size(); ++m)
        CHECK_EQUAL(200, site.beat(m, "ready"));
      std::string request = call;
      request.append(std::to_string(++n))
          .append(" HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
                  "X-Plantainhatch-Request-Attempt-Id: odd\r\n"
                  "Content-Length: 0\r\n\r\n");
      const std::string text =
          HttpClient::exchangeRaw(site.machines[0]->callers, request);
      checkServes(start);
      const bool isOfNode = text.starts_with("HTTP/1.1 502 ") &&
                            text.find("odd\r\n") != std::string::npos &&
                            !text.ends_with("odd") && !text.ends_with("new");
      if (!isOfNode)
        faults.append("\n")
            .append(call)
            .append("after ")
            .append(start)
            .append(": ")
            .append(text);
    }
  }
  CHECK_TEXT(faults.empty(), faults.c_str());
}

// Guards against a call that waits for the end of interim answers.
TEST(OddMessages, InterimAnswersWithoutAnEndLastNoLongerThanTheDeadline) {
  CHECK(site.start());
  std::list<ScriptedServer> workers;
  for (const auto &it : site.machines) {
    it->target->crash();
    workers.emplace_back(
        it->targetAddress,
        [name = it->target->name()](ScriptedServer::Connection &connection) {
          while (const auto request = connection.readRequest()) {
            if (request->starts_with("GET /health")) {
              connection.write(makeHealth(name));
              continue;
            }
            while (connection.write("HTTP/1.1 100 Continue\r\n\r\n"))
              std::this_thread::sleep_for(std::chrono::milliseconds(100));
          }
        });
  }
  for (std::size_t m = 0; m < site.machines.size(); ++m)
    CHECK_EQUAL(200, site.beat(m, "ready"));
  for (const std::string method : {"GET", "POST"}) {
    const TimePoint sentAt = std::chrono::steady_clock::now();
    const auto answer =
        site.call(0, method, method == "GET" ? "/read/i" : "/write/i",
                  "interim-" + method, std::chrono::milliseconds(700));
    // Both promise nothing.
    CHECK_TEXT(answer.status == 502 || answer.status == 504,
               (std::to_string(answer.status) + answer.body).c_str());
    CHECK(std::chrono::steady_clock::now() - sentAt <
          std::chrono::milliseconds(1500));
  }
}
