#include "process/PeerDepartures.h"

#include <algorithm>

namespace plantainhatch {

void PeerDepartures::keep(const Address &node,
                          const std::vector<Departure> &departures) {
  const auto it = std::ranges::find(entries, node, &Entry::node);
  if (it == entries.end())
    entries.push_back({node, {}});
  else
    entries.splice(entries.end(), entries, it);
  DepartureList &kept = entries.back().departures;
  std::ranges::for_each(
      departures, [&](const Departure &departure) { kept.add(departure); });
  if (entries.size() > MaxNodes)
    entries.pop_front();
}

std::vector<Departure> PeerDepartures::find(const Address &node) const {
  const auto it = std::ranges::find(entries, node, &Entry::node);
  return it == entries.end() ? std::vector<Departure>()
                             : it->departures.entries();
}

} // namespace plantainhatch
