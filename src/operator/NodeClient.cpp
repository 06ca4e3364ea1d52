#include "operator/NodeClient.h"

#include "connection/Timer.h"
#include "operator/MainLoop.h"
#include "operator/fieldOf.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <ranges>
#include <tuple>

namespace plantainhatch {

namespace {

using nlohmann::json;

/** Fetches from a list, a few at a time. */
struct FetchBatch {
  SoupSession *session = nullptr;
  std::vector<Address> nodes;
  std::string path;
  std::size_t next = 0;
  std::size_t pending = 0;
  std::map<Address, std::optional<json>> results;
  std::function<void(bool)> done;
};

/** One request of a batch. */
struct Fetch {
  std::shared_ptr<FetchBatch> batch;
  Address node;
  GObjectPtr<SoupMessage> message;
  GObjectPtr<GCancellable> cancellable{g_cancellable_new()};
  Timer timer;
};

/** Precedence among records of the same node, as for Member::rank(). */
auto rankOf(const NodeListing &listing) {
  static constexpr std::array<std::string_view, 4> Order{"alive", "suspect",
                                                         "dead", "left"};
  return std::tuple(listing.generation, listing.incarnation,
                    std::ranges::find(Order, listing.liveness) - Order.begin());
}

/** \return nothing if \p member lacks its addresses. */
std::optional<NodeListing> toListing(const json &member) {
  if (!member.is_object())
    return std::nullopt;
  const auto callers = Address::parse(textOf(member, "callers"));
  const auto peers = Address::parse(textOf(member, "peers"));
  if (!callers || !peers)
    return std::nullopt;
  return NodeListing{*callers,
                     *peers,
                     textOf(member, "failureDomain"),
                     textOf(member, "liveness"),
                     fieldOf(member, "generation", std::uint64_t{0}),
                     fieldOf(member, "incarnation", std::uint64_t{0})};
}

void startNext(const std::shared_ptr<FetchBatch> &batch);

void onFetched(GObject *session, GAsyncResult *result, gpointer data) {
  const std::unique_ptr<Fetch> fetch(static_cast<Fetch *>(data));
  const GBytesPtr body(soup_session_send_and_read_finish(SOUP_SESSION(session),
                                                         result, nullptr));
  const std::shared_ptr<FetchBatch> batch = fetch->batch;
  std::optional<json> &slot = batch->results[fetch->node];
  if (body && soup_message_get_status(fetch->message.get()) == SOUP_STATUS_OK) {
    json parsed = json::parse(toString(body.get()), nullptr, false);
    if (!parsed.is_discarded())
      slot = std::move(parsed);
  }
  --batch->pending;
  startNext(batch);
}

void startOne(const std::shared_ptr<FetchBatch> &batch, const Address &node) {
  auto *const fetch = new Fetch;
  fetch->batch = batch;
  fetch->node = node;
  const std::string uri = "http://" + node.toString() + batch->path;
  fetch->message.reset(soup_message_new("GET", uri.c_str()));
  fetch->timer.startOnce(NodeClient::Timeout, [fetch] {
    g_cancellable_cancel(fetch->cancellable.get());
  });
  ++batch->pending;
  soup_session_send_and_read_async(batch->session, fetch->message.get(),
                                   G_PRIORITY_DEFAULT, fetch->cancellable.get(),
                                   onFetched, fetch);
}

void startNext(const std::shared_ptr<FetchBatch> &batch) {
  while (batch->next < batch->nodes.size() &&
         batch->pending < NodeClient::MaxParallel) {
    const std::size_t n = batch->next++;
    startOne(batch, batch->nodes[n]);
  }
  if (batch->pending == 0)
    batch->done(true);
}

} // namespace

NodeClient::NodeClient() : session(makeSoupSession()) {}

std::map<Address, std::optional<json>>
NodeClient::fetch(const std::vector<Address> &nodes, const std::string &path) {
  const auto batch = std::make_shared<FetchBatch>();
  batch->session = session.get();
  batch->nodes = nodes;
  batch->path = path;
  await<bool>([&](const std::function<void(bool)> &done) {
    batch->done = done;
    startNext(batch);
  });
  return std::move(batch->results);
}

std::vector<NodeListing>
NodeClient::listNodes(const std::vector<Address> &entry) {
  std::map<Address, NodeListing> newest;
  for (const auto &[node, answer] : fetch(entry, "/plantainhatch/v1/status")) {
    if (!answer || !answer->contains("members"))
      continue;
    for (const json &member : answer->at("members")) {
      const auto listing = toListing(member);
      if (!listing)
        continue;
      const auto [it, isNew] = newest.try_emplace(listing->peers, *listing);
      if (!isNew && rankOf(*listing) > rankOf(it->second))
        it->second = *listing;
    }
  }
  std::vector<NodeListing> listings;
  std::ranges::copy(newest | std::views::values, std::back_inserter(listings));
  std::ranges::sort(listings, {}, &NodeListing::callers);
  return listings;
}

} // namespace plantainhatch
