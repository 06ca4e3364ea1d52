#include "support/FaultFixture.h"

#include "request/HeaderNames.h"

#include <algorithm>
#include <fstream>

namespace plantainhatch::test {

std::vector<JournalEntry> readJournal(const Fleet &fleet) {
  std::ifstream journal(fleet.journalFile());
  std::vector<JournalEntry> entries;
  JournalEntry entry;
  while (journal >> entry.key >> entry.requestId)
    entries.push_back(entry);
  return entries;
}

unsigned countRuns(const Fleet &fleet, const std::string &key) {
  return static_cast<unsigned>(
      std::ranges::count(readJournal(fleet), key, &JournalEntry::key));
}

std::string outcomeOf(const HttpAnswer &answer) {
  if (answer.status == 0)
    return "cut";
  const std::string outcome = answer.header(headers::Outcome);
  return outcome.empty() ? "answer" : outcome;
}

} // namespace plantainhatch::test
