/** \file
 * Bytes that do not end, towards a real node, while it serves other calls. */
#include "connection/ServerConnection.h"
#include "operator/MainLoop.h"
#include "platform/SiteFixture.h"
#include "platform/StoreClient.h"
#include "support/ProcessUsage.h"
#include "support/ScriptedServer.h"

#include <CppUTest/TestHarness.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace plantainhatch;
using namespace plantainhatch::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** The memory that a node may take. */
constexpr std::uint64_t MaxNodeKib = 32UL * 1024;
constexpr std::size_t BlockBytes = 16UL * 1024;
constexpr const char *IdHeader = "X-Plantainhatch-Request-Attempt-Id";

std::string repeat(const std::string &text) {
  std::string block;
  while (block.size() < BlockBytes)
    block += text;
  return block;
}

/** How an answer begins, and what comes then without end. */
struct EndlessAnswer {
  const char *name;
  std::string start;
  std::string repeated;
};

const std::string Ok = "HTTP/1.1 200 OK\r\n" + std::string(IdHeader) + ": ";

const EndlessAnswer EndlessAnswers[] = {
    {"a head", "HTTP/1.1 200 OK\r\n", repeat("A: b\r\n")},
    {"no answer at all", "", repeat("x")},
    {"a chunked body", "\r\nTransfer-Encoding: chunked\r\n\r\n",
     repeat("4\r\nabcd\r\n")},
    {"a body with a length", "\r\nContent-Length: 1000000000000\r\n\r\n",
     repeat("x")},
    {"a body to the close", "\r\n\r\n", repeat("x")},
};

std::string idIn(const std::string &head) {
  const auto at = head.find(IdHeader) + std::string(IdHeader).size() + 2;
  return head.substr(at, head.find("\r\n", at) - at);
}

/** A connection that sends and does not wait for an answer. Not a StreamSocket,
 * whose bytes would be charged to the buffers of the targets in this process.
 */
class RawConnection {
public:
  explicit RawConnection(const Address &address)
      : fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in storage{};
    storage.sin_family = AF_INET;
    storage.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &storage.sin_addr);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&storage),
                sizeof(storage)) != 0)
      FAIL("the node does not accept connections");
  }
  ~RawConnection() { close(fd); }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;
  RawConnection(RawConnection &&) = delete;
  RawConnection &operator=(RawConnection &&) = delete;

  void send(std::string_view bytes) {
    queued += bytes;
    flush();
  }
  /** Sends more of what did not fit. */
  void flush() {
    const auto n =
        ::send(fd, queued.data(), queued.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0)
      queued.erase(0, static_cast<std::size_t>(n));
  }

  /** What can be read at once; empty if nothing can. */
  std::string receive() {
    std::string buf(1'024, ' ');
    const auto n = recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
    buf.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return buf;
  }

private:
  int fd;
  std::string queued;
};

} // namespace

TEST_GROUP(BytesWithoutEnd) {
  SiteFixture site{{"zone-0", "zone-1"}};

  std::uint64_t peakOf(std::size_t n) {
    return ProcessUsage(site.machines[n]->node->id()).peakResidentKib();
  }

  /** Calls with a body at one node. */
  void checkOthersAreServed(std::size_t n, const char *name) {
    for (unsigned it = 0; it < 5; ++it) {
      static unsigned calls = 0;
      const std::string id = "other-" + std::to_string(calls++);
      const HttpAnswer answer = site.call(n, "POST", "/write/x", id);
      CHECK_EQUAL_TEXT(200, answer.status, answer.body.c_str());
      CHECK_EQUAL_TEXT(1, site.runsOf(id), name);
    }
  }
};

// Guards against a node whose memory is filled by targets that answer without
// end, in the head or in the body, and with it all other calls.
TEST(BytesWithoutEnd, OfATargetLeaveTheMemoryFlatAndOtherCallsServed) {
  constexpr unsigned Slots = 400;
  constexpr unsigned Calls = 300;
  constexpr unsigned LeastServed = 10;
  for (const EndlessAnswer &it : EndlessAnswers) {
    SiteFixture own{{"zone-0", "zone-1"}};
    own.machines[0]->target->setSlots(Slots);
    CHECK_TEXT(own.start(), it.name);
    const Address address = own.machines[0]->targetAddress;
    own.machines[0]->target->crash();
    const ScriptedServer server(
        address, [&](ScriptedServer::Connection &connection) {
          const auto head = connection.readRequest();
          if (!head)
            return;
          if (head->starts_with("GET /health")) {
            connection.write("HTTP/1.1 200 OK\r\nX-Plantainhatch-Instance-Id: "
                             "i-0\r\nContent-Length: 0\r\nConnection: "
                             "close\r\n\r\n");
            return;
          }
          if (it.start.starts_with("\r\n"))
            connection.write(Ok + idIn(*head));
          connection.write(it.start);
          while (connection.write(it.repeated)) {
          }
        });
    std::vector<std::unique_ptr<RawConnection>> callers;
    for (unsigned n = 0; n < Calls; ++n) {
      callers.push_back(
          std::make_unique<RawConnection>(own.machines[0]->callers));
      callers.back()->send("GET /read/x HTTP/1.1\r\nHost: h.example\r\n" +
                           std::string(IdHeader) + ": endless-" +
                           std::to_string(n) +
                           "\r\nX-Plantainhatch-Deadline-Milliseconds: "
                           "4000\r\n\r\n");
    }
    const auto *const node = own.machines[0]->node.get();
    const TimePoint end = std::chrono::steady_clock::now() + seconds(3);
    unsigned others = 0;
    unsigned served = 0;
    while (std::chrono::steady_clock::now() < end) {
      const std::string id = "sound-" + std::to_string(others++);
      const HttpAnswer answer =
          own.call(1, "GET", "/read/x", id, milliseconds(1'000));
      // A call may also be picked for the faulty target, and break off there.
      const bool isAtSoundTarget = own.machines[1]->target->runsOf(id) > 0;
      CHECK_TEXT(answer.status == 200 || answer.status == 503 ||
                     !isAtSoundTarget,
                 it.name);
      served += answer.status == 200 ? 1 : 0;
      CHECK_TEXT(own.isReady(0), it.name);
    }
    CHECK_TEXT(served >= LeastServed, it.name);
    CHECK_TEXT(ProcessUsage(node->id()).peakResidentKib() < MaxNodeKib,
               it.name);
  }
}

// Guards against a node whose memory is filled by the bodies of requests that
// do not end.
TEST(BytesWithoutEnd, OfCallersLeaveTheMemoryFlatAndOtherCallsServed) {
  constexpr unsigned Callers = 100;
  CHECK(site.start());
  const std::string part(900UL * 1024, 'x');
  std::vector<std::unique_ptr<RawConnection>> callers;
  for (unsigned n = 0; n < Callers; ++n) {
    callers.push_back(
        std::make_unique<RawConnection>(site.machines[0]->callers));
    callers.back()->send("POST /write/x HTTP/1.1\r\nHost: h.example\r\n" +
                         std::string(IdHeader) + ": part-" + std::to_string(n) +
                         "\r\nX-Plantainhatch-Deadline-Milliseconds: "
                         "4000\r\nContent-Length: 1000000\r\n\r\n");
    callers.back()->send(part);
  }
  for (unsigned n = 0; n < 200; ++n) {
    for (const auto &it : callers)
      it->flush();
    pause(milliseconds(5));
  }
  checkOthersAreServed(0, "bodies");
  checkOthersAreServed(1, "bodies");
  CHECK(site.isReady(0));
  CHECK(peakOf(0) < MaxNodeKib);
}

// Guards against memory that is taken on the word of who connects to the peers
// address, before it has proved to be a node.
TEST(BytesWithoutEnd, OfStrangersAtThePeersAddressTakeNoMemory) {
  CHECK(site.start());
  std::vector<std::unique_ptr<RawConnection>> strangers;
  for (unsigned n = 0; n < 30; ++n) {
    strangers.push_back(
        std::make_unique<RawConnection>(site.machines[0]->peers));
    // A frame of 16 MiB, of which little comes.
    strangers.back()->send(std::string_view("\x01\x00\x00\x00", 4));
    strangers.back()->send("xxxx");
  }
  pause(milliseconds(300));
  checkOthersAreServed(0, "frames");
  CHECK(peakOf(0) < MaxNodeKib);
}

// Guards against a table that is read page by page without end.
TEST(BytesWithoutEnd, OfTheStoreInPagesCountAsNoAnswer) {
  const Address address = freeAddress();
  const std::string value(700UL * 1024, 'A');
  const std::string body =
      R"({"rows":[{"table":"op","part":"","key":"k","version_number":1,"value":")" +
      value + R"("}],"has_more":true,"version_number":1})";
  const ScriptedServer server(address, [&](ScriptedServer::Connection &it) {
    while (it.readRequest())
      if (!it.write("HTTP/1.1 200 OK\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
  });
  StoreClient client("http://" + address.toString());
  std::optional<RowsResult> read;
  client.readTable("op", [&](RowsResult result) { read = std::move(result); });
  CHECK(Fleet::waitUntil([&] { return read.has_value(); }, seconds(4)));
  CHECK(read->result == StoreResult::Unknown);
}

// Guards against connections that are held for good by heads that come byte by
// byte.
TEST(BytesWithoutEnd, OfAHeadThatDoesNotArriveInTimeEndItsConnection) {
  CHECK(site.start());
  RawConnection caller(site.machines[0]->callers);
  caller.send("GET /read/x HTTP/1.1\r\nHost: ");
  std::string answer;
  CHECK(Fleet::waitUntil(
      [&] {
        caller.send("h");
        answer += caller.receive();
        return !answer.empty();
      },
      ServerConnection::MaxHeadTime + seconds(2)));
  CHECK(answer.starts_with("HTTP/1.1 408 "));
}
