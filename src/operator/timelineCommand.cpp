/** \file
 * The command that merges the events of all nodes. */
#include "operator/commands.h"

#include "base/HybridClock.h"
#include "base/Text.h"
#include "node/ArchiveTask.h"
#include "operator/MainLoop.h"
#include "operator/fieldOf.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <set>
#include <sstream>

namespace plantainhatch::commands {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds FollowInterval{500};
/** A node that could not be asked for this long is asked for what it has
 * recorded meanwhile. */
constexpr std::chrono::seconds FollowWindow{60};
constexpr unsigned MaxRows = 100'000;
constexpr unsigned LogicalBits = 16;

/** Events in causal order, each once. */
class MergedEvents {
public:
  void add(const json &list) {
    for (const json &event : list) {
      const auto time = HybridTime::parse(textOf(event, "time"));
      if (time)
        events.emplace(Key{*time, textOf(event, "node"), textOf(event, "kind"),
                           textOf(event, "subject")},
                       event);
    }
  }

  /** Events later than \p since that pass \p filter, each once. The filter is
   * the same each time. */
  std::vector<json> take(HybridTime since, const std::string &filter) {
    std::vector<json> found;
    for (const auto &[key, event] : events)
      if (key.time > since && taken.insert(key).second &&
          (filter.empty() ||
           encodeJson(event).find(filter) != std::string::npos))
        found.push_back(event);
    return found;
  }

  /** Drops what is older than \p time and will not be read again. */
  void forget(HybridTime time) {
    const auto isOld = [&](const Key &key) { return key.time <= time; };
    std::erase_if(events,
                  [&](const auto &entry) { return isOld(entry.first); });
    std::erase_if(taken, isOld);
  }

private:
  struct Key {
    HybridTime time;
    std::string node;
    std::string kind;
    std::string subject;
    auto operator<=>(const Key &) const = default;
  };
  std::map<Key, json> events;
  std::set<Key> taken;
};

std::string formatWallTime(std::int64_t wallMs) {
  constexpr std::int64_t MsPerSecond = 1000;
  const std::time_t seconds = wallMs / MsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%F %T") << "." << std::setw(3)
       << std::setfill('0') << wallMs % MsPerSecond;
  return text.str();
}

std::string formatEvent(const json &event) {
  return formatWallTime(fieldOf(event, "wallMs", std::int64_t{0})) + "  " +
         textOf(event, "node") + "  " + textOf(event, "kind") + "  " +
         textOf(event, "subject") + ": " + textOf(event, "detail") + "  [" +
         textOf(event, "cause") + "]\n";
}

HybridTime timeBefore(std::chrono::milliseconds ago) {
  const auto then = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now() - ago);
  return HybridTime{static_cast<std::uint64_t>(then.time_since_epoch().count())
                    << LogicalBits};
}

/** Reads "30s", "5m", "2h" as a time that long ago, and a plain number as an
 * event's time. */
std::optional<HybridTime> parseSince(const std::string &text) {
  if (text.empty())
    return HybridTime{};
  if (const auto exact = HybridTime::parse(text))
    return exact;
  std::int64_t n = 0;
  char unit = 0;
  std::istringstream stream(text);
  stream >> n >> unit;
  std::chrono::seconds ago(n);
  if (unit == 'm')
    ago = std::chrono::minutes(n);
  else if (unit == 'h')
    ago = std::chrono::hours(n);
  else if (unit != 's')
    return std::nullopt;
  return timeBefore(ago);
}

void addLiving(CommandContext &context, MergedEvents &merged,
               HybridTime since) {
  std::vector<Address> nodes;
  for (const NodeListing &listing :
       context.nodes.listNodes(context.settings.nodes))
    if (listing.isPresent())
      nodes.push_back(listing.callers);
  for (const auto &[node, answer] : context.nodes.fetch(
           nodes, "/plantainhatch/v1/events?since=" + since.toString()))
    if (answer && answer->contains("events"))
      merged.add(answer->at("events"));
}

/** Events that were saved, also those of VMs that are gone.
 * \return false if the store does not answer. */
bool addSaved(CommandContext &context, MergedEvents &merged) {
  const std::string table = context.settings.cluster + "-" + EventTable;
  const auto rows = await<RowsResult>([&](const auto &done) {
    context.platform.readRows(table, "", MaxRows, done);
  });
  if (rows.result != StoreResult::Ok)
    return false;
  for (const Row &row : rows.rows) {
    const auto object = await<ObjectResult>([&](const auto &done) {
      context.platform.readObject(row.value, done);
    });
    const json parsed = json::parse(object.bytes, nullptr, false);
    if (object.result == StoreResult::Ok && parsed.is_array())
      merged.add(parsed);
  }
  return true;
}

std::string format(const CommandContext &context,
                   const std::vector<json> &events) {
  std::string text;
  for (const json &event : events)
    text +=
        context.options.isJson ? encodeJson(event) + "\n" : formatEvent(event);
  return text;
}

/** Prints what is new, also what a node tells late, until the timeout. */
void follow(CommandContext &context, MergedEvents &merged, HybridTime since) {
  const TimePoint giveUpAt =
      std::chrono::steady_clock::now() + context.options.timeout;
  while (std::chrono::steady_clock::now() < giveUpAt) {
    since = std::max(since, timeBefore(FollowWindow));
    addLiving(context, merged, since);
    context.print(format(context, merged.take(since, context.options.filter)));
    merged.forget(since);
    pause(FollowInterval);
  }
}

} // namespace

CommandResult timeline(CommandContext &context,
                       const std::vector<std::string> & /*arguments*/) {
  const auto since = parseSince(context.options.since);
  if (!since)
    return {ExitCode::Usage,
            {},
            "--since: '" + context.options.since +
                "' is neither like 30s, 5m, 2h nor the time of an event\n"};
  MergedEvents merged;
  addLiving(context, merged, *since);
  CommandResult result;
  if (!addSaved(context, merged))
    result.messages =
        "the store does not answer; events of VMs that are gone are missing\n";
  const auto events = merged.take(*since, context.options.filter);
  result.output = format(context, events);
  if (!context.options.isFollowing)
    return result;
  context.print(result.output);
  result.output.clear();
  follow(context, merged, *since);
  return result;
}

} // namespace plantainhatch::commands
