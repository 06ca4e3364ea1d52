/** \file
 * Edits of a rules text that move failure domains and VMs. */
#ifndef PLANTAINHATCH_VERSION_RULESEDIT_H
#define PLANTAINHATCH_VERSION_RULESEDIT_H

#include "version/Configuration.h"

#include <string>

namespace plantainhatch {

/** What a move is about. */
enum class MoveKind { Domain, Vm };

/** Where it goes. */
enum class MoveDirection { Out, In };

/** One move, as an operator orders it. */
struct Move {
  MoveKind kind = MoveKind::Domain;
  MoveDirection direction = MoveDirection::Out;
  /** The failure domain's name or the VM's address. */
  std::string subject;
  std::string author;

  /** "domain sierra-a out". */
  std::string toString() const;
};

/** The text of \p configuration after \p move; all other lines stay as they
 * are. Equal to the old text if the move is in force already. Pure. */
std::string applyMove(const Configuration &configuration, const Move &move);

} // namespace plantainhatch

#endif
