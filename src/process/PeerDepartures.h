/** \file
 * Departures that this node keeps for others. */
#ifndef PLANTAINHATCH_PROCESS_PEERDEPARTURES_H
#define PLANTAINHATCH_PROCESS_PEERDEPARTURES_H

#include "base/Address.h"
#include "process/DepartureList.h"

#include <cstddef>
#include <list>
#include <vector>

namespace plantainhatch {

/** Keeps the departures that other nodes have given, until these nodes start
 * again and ask for them. Not thread-safe. */
class PeerDepartures {
public:
  /** Nodes whose departures are kept; beyond that, those that were given least
   * recently are dropped. */
  static constexpr std::size_t MaxNodes = 1'024;

  /** Keeps \p departures for the node at the peers address \p node, besides
   * those that it has given before. */
  void keep(const Address &node, const std::vector<Departure> &departures);

  /** What is kept for the node at the peers address \p node; empty if nothing
   * is. */
  std::vector<Departure> find(const Address &node) const;

private:
  struct Entry {
    Address node;
    DepartureList departures;
  };
  /** Least recently given first. */
  std::list<Entry> entries;
};

} // namespace plantainhatch

#endif
