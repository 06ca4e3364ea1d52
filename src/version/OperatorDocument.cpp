#include "version/OperatorDocument.h"

#include <sstream>

namespace plantainhatch {

namespace {

constexpr const char *Word = "document";

} // namespace

std::optional<OperatorDocument>
OperatorDocument::fromText(const std::string &text) {
  std::istringstream in(text);
  std::string word;
  OperatorDocument document;
  if (in >> word >> document.number >> document.era && word == Word)
    return document;
  return std::nullopt;
}

std::string OperatorDocument::toText() const {
  return std::string(Word) + " " + std::to_string(number) + " " +
         std::to_string(era);
}

bool isOlderOfOtherEra(const std::optional<OperatorDocument> &next,
                       const std::optional<OperatorDocument> &current) {
  return next && current && next->era != current->era &&
         next->number < current->number;
}

bool bringsBackDocument(const ConfigurationHead &next,
                        const ConfigurationHead &current) {
  const auto nextDocument = OperatorDocument::fromText(next.applyId);
  const auto currentDocument = OperatorDocument::fromText(current.applyId);
  // A document that a node has kept since an earlier era has no place in the
  // order of the versions.
  const bool isKept = nextDocument && nextDocument->era != eraOf(next.version);
  return isOlderOfOtherEra(nextDocument, currentDocument) ||
         (isKept && currentDocument &&
          nextDocument->number < currentDocument->number);
}

} // namespace plantainhatch
