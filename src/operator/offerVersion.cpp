#include "operator/offerVersion.h"

#include "base/HybridClock.h"
#include "connection/BulkClient.h"
#include "connection/MessageCodec.h"
#include "operator/MainLoop.h"

#include <map>
#include <random>

namespace plantainhatch {

namespace {

std::vector<Address> chooseNodes(CommandContext &context) {
  std::map<std::string, std::size_t> chosenByDomain;
  std::vector<Address> nodes;
  for (const NodeListing &it : context.nodes.listNodes(context.settings.nodes))
    if (it.isPresent() && chosenByDomain[it.failureDomain]++ < OfferedPerDomain)
      nodes.push_back(it.peers);
  return nodes;
}

BulkRequest makeRequest(const CommandContext &context,
                        const ConfigurationHead &head,
                        const std::string &text) {
  const auto wallNow = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  std::random_device random;
  BulkRequest request;
  request.header.cluster = context.settings.cluster;
  request.header.time = HybridClock().stamp(wallNow);
  request.header.configurationVersion = head.version;
  request.nonce = random();
  request.body = ConfigurationOffer{head, text};
  return request;
}

} // namespace

std::size_t offerVersion(CommandContext &context, const ConfigurationHead &head,
                         const std::string &text) {
  const MessageCodec codec(context.settings.key);
  const std::string bytes = codec.encode(makeRequest(context, head, text));
  const std::vector<Address> nodes = chooseNodes(context);
  struct Answers {
    std::size_t ended = 0;
    std::size_t good = 0;
  };
  const auto answers = std::make_shared<Answers>();
  for (const Address &node : nodes)
    requestBulk(node, bytes,
                [answers, codec](const std::optional<std::string> &reply) {
                  ++answers->ended;
                  if (reply && codec.decode<BulkReply>(*reply))
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
