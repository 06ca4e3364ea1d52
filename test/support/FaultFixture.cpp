#include "support/FaultFixture.h"

#include "request/HeaderNames.h"

#include <algorithm>
#include <fstream>

namespace plantainhatch::test {

unsigned countRuns(Fleet &fleet, const std::string &key) {
  std::ifstream journal(fleet.journalFile());
  std::string line;
  unsigned runs = 0;
  while (std::getline(journal, line))
    if (line == key)
      ++runs;
  return runs;
}

std::string outcomeOf(const HttpAnswer &answer) {
  if (answer.status == 0)
    return "cut";
  const std::string outcome = answer.header(headers::Outcome);
  return outcome.empty() ? "answer" : outcome;
}

} // namespace plantainhatch::test
