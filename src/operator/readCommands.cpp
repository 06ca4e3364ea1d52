/** \file
 * Commands that read the accepted configuration and the state of nodes. */
#include "operator/commands.h"

#include "base/Text.h"
#include "operator/MainLoop.h"
#include "operator/fieldOf.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <iomanip>
#include <sstream>

namespace plantainhatch::commands {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds WaitInterval{200};

std::optional<std::uint64_t> parseVersion(const std::string &text) {
  std::uint64_t version = 0;
  const char *const end = text.data() + text.size();
  auto [it, ec] = std::from_chars(text.data(), end, version);
  return ec == std::errc() && it == end ? std::optional(version) : std::nullopt;
}

json toJson(const ConfigurationHead &head) {
  return json::parse(head.toJson());
}

std::vector<Address> presentNodes(CommandContext &context) {
  std::vector<Address> nodes;
  for (const NodeListing &listing :
       context.nodes.listNodes(context.settings.nodes))
    if (listing.isPresent())
      nodes.push_back(listing.callers);
  return nodes;
}

/** Nodes where \p version is not in force, with the reason. */
std::map<std::string, std::string>
findLagging(CommandContext &context, const std::vector<Address> &nodes,
            std::uint64_t version) {
  std::map<std::string, std::string> lagging;
  for (const auto &[node, answer] :
       context.nodes.fetch(nodes, "/plantainhatch/v1/status?members=0")) {
    if (!answer) {
      lagging[node.toString()] = "does not answer";
      continue;
    }
    const auto inForce = fieldOf(*answer, "version", std::uint64_t{0});
    if (inForce < version)
      lagging[node.toString()] = "has version " + std::to_string(inForce);
  }
  return lagging;
}

std::string statusLine(const json &status) {
  const json gate =
      status.is_object() && status.contains("gate") ? status["gate"] : json();
  std::ostringstream line;
  line << std::left << std::setw(22) << textOf(status, "node") << std::setw(14)
       << textOf(status, "failureDomain") << std::setw(9)
       << ("v" + std::to_string(fieldOf(status, "version", 0))) << std::setw(18)
       << textOf(gate, "service") << std::setw(9) << textOf(gate, "state")
       << fieldOf(gate, "inFlight", 0) << "/" << fieldOf(gate, "limit", 0)
       << "/" << fieldOf(gate, "slots", 0)
       << (fieldOf(status, "storeUp", true) ? "" : "  store down")
       << (fieldOf(status, "stopping", false) ? "  stopping" : "") << "\n";
  return line.str();
}

} // namespace

CommandResult show(CommandContext &context,
                   const std::vector<std::string> &arguments) {
  ConfigurationPtr configuration;
  if (arguments.empty()) {
    auto stored = context.store.read();
    if (!stored)
      return refused(toString(stored.error()));
    configuration = stored.value().configuration;
  } else {
    const auto version = parseVersion(arguments[0]);
    if (!version)
      return {ExitCode::Usage, {}, "'" + arguments[0] + "' is not a version\n"};
    auto read = context.store.readVersion(*version);
    if (!read)
      return refused(toString(read.error()));
    configuration = read.value();
  }
  if (!context.options.isJson)
    return {ExitCode::Done, configuration->text(),
            "version " + std::to_string(configuration->head().version) + "\n"};
  json data = toJson(configuration->head());
  data["text"] = configuration->text();
  return {ExitCode::Done, encodeJson(data) + "\n", {}};
}

CommandResult history(CommandContext &context,
                      const std::vector<std::string> & /*arguments*/) {
  const auto heads = context.store.readHistory();
  if (!heads)
    return refused(toString(heads.error()));
  if (context.options.isJson) {
    json list = json::array();
    std::ranges::transform(heads.value(), std::back_inserter(list), toJson);
    return {ExitCode::Done, encodeJson(list) + "\n", {}};
  }
  std::ostringstream text;
  for (const ConfigurationHead &head : heads.value())
    text << head.version << "  " << head.change << "  asked by " << head.author
         << "  apply " << head.applyId << "\n";
  return {ExitCode::Done, text.str(), {}};
}

CommandResult wait(CommandContext &context,
                   const std::vector<std::string> &arguments) {
  const auto version = parseVersion(arguments[0]);
  if (!version)
    return {ExitCode::Usage, {}, "'" + arguments[0] + "' is not a version\n"};
  const TimePoint giveUpAt =
      std::chrono::steady_clock::now() + context.options.timeout;
  std::map<std::string, std::string> lagging{
      {"all nodes", "none of 'nodes' answers"}};
  do {
    const auto nodes = presentNodes(context);
    if (!nodes.empty())
      lagging = findLagging(context, nodes, *version);
    if (lagging.empty())
      return {ExitCode::Done,
              context.options.isJson ? encodeJson({{"version", *version},
                                                   {"nodes", nodes.size()}}) +
                                           "\n"
                                     : arguments[0] + "\n",
              "in force at " + std::to_string(nodes.size()) + " nodes\n"};
    pause(WaitInterval);
  } while (std::chrono::steady_clock::now() < giveUpAt);
  CommandResult result = refused("not in force everywhere:");
  for (const auto &[node, reason] : lagging)
    result.messages.append("  ").append(node).append(" ").append(reason).append(
        "\n");
  if (context.options.isJson)
    result.output =
        encodeJson({{"version", *version}, {"lagging", lagging}}) + "\n";
  return result;
}

CommandResult status(CommandContext &context,
                     const std::vector<std::string> & /*arguments*/) {
  const auto listings = context.nodes.listNodes(context.settings.nodes);
  if (listings.empty())
    return refused("none of the nodes in the settings answers");
  std::vector<Address> present;
  json absent = json::array();
  for (const NodeListing &listing : listings) {
    if (listing.isPresent())
      present.push_back(listing.callers);
    else
      absent.push_back({{"node", listing.callers.toString()},
                        {"failureDomain", listing.failureDomain},
                        {"liveness", listing.liveness}});
  }
  json nodes = json::array();
  std::string text;
  for (const auto &[node, answer] :
       context.nodes.fetch(present, "/plantainhatch/v1/status?members=0")) {
    if (answer) {
      nodes.push_back(*answer);
      text += statusLine(*answer);
    } else {
      absent.push_back(
          {{"node", node.toString()}, {"liveness", "does not answer"}});
    }
  }
  for (const json &it : absent)
    text += textOf(it, "node") + "  " + textOf(it, "liveness") + "\n";
  if (context.options.isJson)
    return {ExitCode::Done,
            encodeJson({{"nodes", nodes}, {"absent", absent}}) + "\n",
            {}};
  return {ExitCode::Done, text, {}};
}

} // namespace plantainhatch::commands
