#include "base/Finding.h"

#include <numeric>

namespace plantainhatch {

std::string Finding::toString() const {
  std::string text = source;
  if (line != 0)
    text += ":" + std::to_string(line);
  if (column != 0)
    text += ":" + std::to_string(column);
  if (!field.empty())
    text += ": " + field;
  return text + ": " + message;
}

std::string toString(const Findings &findings) {
  return std::accumulate(findings.begin(), findings.end(), std::string(),
                         [](std::string text, const Finding &finding) {
                           return std::move(text) + finding.toString() + "\n";
                         });
}

} // namespace plantainhatch
