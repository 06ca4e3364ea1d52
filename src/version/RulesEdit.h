/** \file
 * Edits of a rules text that take failure domains and VMs out or back in. */
#ifndef PLANTAINHATCH_VERSION_RULESEDIT_H
#define PLANTAINHATCH_VERSION_RULESEDIT_H

#include "version/Configuration.h"

#include <string>

namespace plantainhatch {

/** What a Move changes. */
enum class MoveKind { Domain, Vm };

/** Out: receives no new calls. In: receives calls again. */
enum class MoveDirection { Out, In };

/** An operator's order to take a failure domain or a VM out, or to put it back
 * in. */
struct Move {
  MoveKind kind = MoveKind::Domain;
  MoveDirection direction = MoveDirection::Out;
  /** The failure domain's name or the VM's address. */
  std::string subject;
  std::string author;

  /** The order as text, such as "domain sierra-a out"; with Out this is the
   * rule without its comment. */
  std::string toString() const;
};

/** Returns the text of \p configuration with the rule for \p move added or
 * removed. All other lines are unchanged, and so is the whole text if \p move
 * is in force already. Pure. */
std::string applyMove(const Configuration &configuration, const Move &move);

} // namespace plantainhatch

#endif
