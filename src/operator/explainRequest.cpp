#include "operator/explainRequest.h"

#include "base/Text.h"
#include "operator/fieldOf.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace plantainhatch {

namespace {

using nlohmann::json;

/** What a node came to believe this long before a request may explain it. */
constexpr std::int64_t BeliefSpanMs = 3'000;

struct Line {
  std::int64_t timeMs = 0;
  std::string node;
  json fields;
};

std::vector<Line> readLines(const std::vector<std::istream *> &logs) {
  std::vector<Line> lines;
  std::string text;
  for (std::istream *const log : logs)
    while (std::getline(*log, text)) {
      // A collector may have put a time and a name before the object.
      const auto start = text.find('{');
      if (start == std::string::npos)
        continue;
      json fields = json::parse(text.substr(start), nullptr, false);
      if (fields.is_object() && fields.contains("t") &&
          fields["t"].is_number_integer())
        lines.push_back({fields["t"].get<std::int64_t>(),
                         textOf(fields, "node"), std::move(fields)});
    }
  std::ranges::stable_sort(lines, {}, &Line::timeMs);
  return lines;
}

std::string format(const Line &line, std::int64_t firstMs) {
  json rest = line.fields;
  for (const char *const name : {"t", "node", "request"})
    rest.erase(name);
  const std::int64_t offset = line.timeMs - firstMs;
  return (offset < 0 ? "" : "+") + std::to_string(offset) + " ms  " +
         line.node + "  " + encodeJson(rest) + "\n";
}

} // namespace

CommandResult explainRequest(const std::string &requestId,
                             const std::vector<std::istream *> &logs) {
  const std::vector<Line> lines = readLines(logs);
  const auto isOfRequest = [&](const Line &line) {
    return textOf(line.fields, "request") == requestId;
  };
  const auto first = std::ranges::find_if(lines, isOfRequest);
  if (first == lines.end())
    return {ExitCode::Refused,
            {},
            "no line is about request '" + requestId +
                "'; served requests are written in part only\n"};
  std::set<std::string> nodes;
  std::int64_t lastMs = first->timeMs;
  for (const Line &line : lines)
    if (isOfRequest(line)) {
      nodes.insert(line.node);
      lastMs = line.timeMs;
    }
  std::string output;
  for (const Line &line : lines) {
    const bool isBelief =
        textOf(line.fields, "kind") == "belief" && nodes.contains(line.node) &&
        line.timeMs >= first->timeMs - BeliefSpanMs && line.timeMs <= lastMs;
    if (isBelief || isOfRequest(line))
      output += format(line, first->timeMs);
  }
  return {ExitCode::Done, output, {}};
}

} // namespace plantainhatch
