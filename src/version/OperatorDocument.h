/** \file
 * Which of the operator's documents a version of the configuration holds. */
#ifndef PLANTAINHATCH_VERSION_OPERATORDOCUMENT_H
#define PLANTAINHATCH_VERSION_OPERATORDOCUMENT_H

#include "version/ConfigurationHead.h"
#include "version/StoreVersion.h"

#include <optional>
#include <string>

namespace plantainhatch {

/** The operator's own number of a document, which grows with each one that the
 * operator makes, and the era in which the document was read. A store that has
 * come back from a copy may show older documents than before, and shows the
 * newer ones under other versions once they are written again. Immutable. */
struct OperatorDocument {
  std::uint64_t number = 0;
  StoreEra era = 0;

  bool operator==(const OperatorDocument &) const = default;

  /** Parses what toText() has returned. \return nothing for any other text.
   * Pure. */
  static std::optional<OperatorDocument> fromText(const std::string &text);
  /** The form in which ConfigurationHead::applyId holds it. Pure. */
  std::string toText() const;
};

/** True if \p next must not take the place of \p current, whatever their
 * versions are: its document is an older one that another era has brought back,
 * or that a node has kept since one. Within one era the store's order holds.
 * Pure. */
bool bringsBackDocument(const ConfigurationHead &next,
                        const ConfigurationHead &current);

/** The same for a document that was read in the era of its version; false if
 * either is not known. Pure. */
bool isOlderOfOtherEra(const std::optional<OperatorDocument> &next,
                       const std::optional<OperatorDocument> &current);

} // namespace plantainhatch

#endif
