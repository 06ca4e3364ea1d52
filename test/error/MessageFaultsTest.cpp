/** \file
 * Forged, damaged and cut messages are dropped. */
#include "base/Compression.h"
#include "connection/MessageCodec.h"
#include "node/parseAnnouncement.h"
#include "request/ForwardProof.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace plantainhatch;

namespace {

Message makeMessage() {
  Message message;
  message.header.cluster = "c";
  message.header.sender = {"127.0.0.1", 7};
  message.body = CrashReport{1, {"127.0.0.1", 8}, "boot", {1, 2, 3}};
  message.members.push_back({});
  message.livenessUpdates.push_back({{"127.0.0.1", 9}, 1, 2, Liveness::Dead});
  return message;
}

} // namespace

TEST_GROUP(MessageFaults) {
  MessageCodec codec{"a key of the cluster"};
  std::mt19937_64 random{17};
};

TEST(MessageFaults, MessageSurvivesTheWire) {
  const auto read = codec.decode<Message>(codec.encode(makeMessage()));
  CHECK(read.has_value());
  CHECK_EQUAL(3, std::get<CrashReport>(read->body).fingerprints.size());
  CHECK(read->livenessUpdates[0].liveness == Liveness::Dead);
}

TEST(MessageFaults, EveryCutAndEveryFlippedBitIsSeen) {
  const std::string bytes = codec.encode(makeMessage());
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    CHECK_FALSE(codec.decode<Message>(bytes.substr(0, n)).has_value());
    std::string flipped = bytes;
    flipped[n] = static_cast<char>(flipped[n] ^ (1 << (random() % 8)));
    CHECK_FALSE(codec.decode<Message>(flipped).has_value());
  }
}

TEST(MessageFaults, KeyOfAnotherClusterIsRefused) {
  CHECK_FALSE(MessageCodec("another key")
                  .decode<Message>(codec.encode(makeMessage()))
                  .has_value());
}

TEST(MessageFaults, GarbageInsideADigestIsNoMessageAndTakesNoMemory) {
  for (int n = 0; n < 20'000; ++n) {
    std::string garbage(random() % 200, '\0');
    for (char &c : garbage)
      c = static_cast<char>(random());
    MessageCodec::decodePayload<Message>(garbage);
    MessageCodec::decodePayload<BulkRequest>(garbage);
    MessageCodec::decodePayload<BulkReply>(garbage);
  }
}

TEST(MessageFaults, MutatedMessagesNeverHarmTheDecoder) {
  const std::string bytes = codec.encode(makeMessage());
  for (int n = 0; n < 20'000; ++n) {
    std::string mutated = bytes;
    for (auto flips = random() % 6 + 1; flips > 0; --flips)
      mutated[random() % mutated.size()] = static_cast<char>(random());
    MessageCodec::decodePayload<Message>(mutated);
  }
}

TEST(MessageFaults, ProofHoldsForOneRequestAtOneGateForAWhile) {
  CallRequest request{"id", "POST", "/release/1", {}, "body"};
  const WallTime now(std::chrono::seconds(1'000'000));
  HybridClock clock;
  const ForwardProofFields proofFields{"release", clock.stamp(now), "100",
                                       "127.0.0.1:1"};
  const std::string proof = makeForwardProof("key", request, proofFields);
  CHECK(isForwardProofValid("key", request, proofFields, proof, now));
  CHECK_FALSE(isForwardProofValid("other", request, proofFields, proof, now));
  CHECK_FALSE(isForwardProofValid("key", request, proofFields, proof,
                                  now + MaxProofAge * 2));
  CHECK_FALSE(isForwardProofValid("key", request, proofFields, "", now));
  ForwardProofFields elsewhere = proofFields;
  elsewhere.gate = "127.0.0.1:2";
  CHECK_FALSE(isForwardProofValid("key", request, elsewhere, proof, now));
  request.body = "another";
  CHECK_FALSE(isForwardProofValid("key", request, proofFields, proof, now));
}

TEST(MessageFaults, AnnouncementReportsAllFieldsThatAreWrong) {
  const auto target = parseAnnouncement(
      R"({"service": 3, "address": "host:1", "slots": 0, "coldSlots": 2})");
  CHECK_FALSE(target.has_value());
  // service, address, slots, connections, bootId
  CHECK_EQUAL(5, target.error().size());
  CHECK_FALSE(parseAnnouncement("[]").has_value());
  CHECK_FALSE(parseAnnouncement("{").has_value());
  CHECK(parseAnnouncement(R"({"service": "s", "address": "127.0.0.1:1",
      "slots": 4, "connections": 9, "coldSlots": 2, "bootId": "b"})")
            .has_value());
  CHECK_FALSE(parseAnnouncement(R"({"service": "s", "address": "127.0.0.1:1",
      "slots": 4, "connections": 9, "coldSlots": 5, "bootId": "b"})")
                  .has_value());
}

TEST(MessageFaults, EnumeratorsThatDoNotExistAreNoMessage) {
  std::string bytes = codec.encode(makeMessage());
  bytes.resize(bytes.size() - MessageCodec::DigestBytes);
  CHECK(MessageCodec::decodePayload<Message>(bytes).has_value());
  // The liveness of the last verdict stands last.
  bytes.back() = 9;
  CHECK_FALSE(MessageCodec::decodePayload<Message>(bytes).has_value());
}

// Guards against a short message that becomes long in memory.
TEST(MessageFaults, CompressedTextsAreBoundedAndDamageIsFound) {
  const std::string text(100'000, 'x');
  const std::string bytes = compress(text);
  CHECK(bytes.size() < text.size() / 10);
  CHECK(decompress(bytes, text.size()) == text);
  CHECK_FALSE(decompress(bytes, text.size() - 1).has_value());
  CHECK_FALSE(decompress(bytes + "x", text.size()).has_value());
  for (std::size_t n = 0; n < bytes.size(); ++n)
    CHECK_FALSE(decompress(bytes.substr(0, n), text.size()).has_value());
}
