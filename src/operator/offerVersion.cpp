#include "operator/offerVersion.h"

#include "base/HybridClock.h"
#include "connection/BulkClient.h"
#include "connection/MessageCodec.h"
#include "operator/MainLoop.h"

#include <algorithm>
#include <map>
#include <random>

namespace plantainhatch {

namespace {

/** Chosen at random, so that the cost of changes is spread over all nodes. */
std::vector<Address> chooseNodes(CommandContext &context,
                                 std::mt19937_64 &random) {
  auto listings = context.nodes.listNodes(context.settings.nodes);
  std::ranges::shuffle(listings, random);
  std::map<std::string, std::size_t> chosenByDomain;
  std::vector<Address> nodes;
  for (const NodeListing &it : listings)
    if (it.isPresent() && chosenByDomain[it.failureDomain]++ < OfferedPerDomain)
      nodes.push_back(it.peers);
  return nodes;
}

BulkRequest makeRequest(const CommandContext &context,
                        const ConfigurationHead &head, const std::string &text,
                        std::uint64_t nonce) {
  const auto wallNow = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  BulkRequest request;
  request.header.cluster = context.settings.cluster;
  request.header.time = HybridClock().stamp(wallNow);
  request.header.configurationVersion = head.version;
  request.nonce = nonce;
  request.body = ConfigurationOffer{head, text};
  return request;
}

} // namespace

std::size_t offerVersion(CommandContext &context, const ConfigurationHead &head,
                         const std::string &text) {
  const MessageCodec codec(context.settings.key);
  std::mt19937_64 random{std::random_device{}()};
  const BulkRequest request = makeRequest(context, head, text, random());
  const std::vector<Address> nodes = chooseNodes(context, random);
  struct Answers {
    std::size_t ended = 0;
    std::size_t good = 0;
  };
  const auto answers = std::make_shared<Answers>();
  const std::string bytes = codec.encode(request);
  for (const Address &node : nodes)
    requestBulk(node, bytes,
                [answers, codec, nonce = request.nonce,
                 version = head.version](const auto &bytesOfReply) {
                  ++answers->ended;
                  if (!bytesOfReply)
                    return;
                  const auto reply = codec.decode<BulkReply>(*bytesOfReply);
                  if (reply && reply->nonce == nonce &&
                      reply->header.configurationVersion >= version)
                    ++answers->good;
                });
  const TimePoint giveUpAt = std::chrono::steady_clock::now() + OfferTime;
  constexpr std::chrono::milliseconds PollInterval{5};
  while (answers->ended < nodes.size() &&
         std::chrono::steady_clock::now() < giveUpAt)
    pause(PollInterval);
  return answers->good;
}

} // namespace plantainhatch
