/** \file
 * Fuzzes the parser of rules files: it ends, and each finding has its place. */
#include "version/RuleParser.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char *>(data), size);
  const auto rules = plantainhatch::parseRules(text, "fuzz");
  if (rules)
    return 0;
  for (const auto &finding : rules.error())
    if (finding.line == 0 || finding.message.empty())
      std::abort();
  return 0;
}
