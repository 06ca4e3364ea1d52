#include "process/DepartureList.h"

#include <algorithm>

namespace plantainhatch {

bool DepartureList::add(const Departure &departure) {
  if (contains(departure.bootId, departure.startedBy))
    return false;
  std::erase_if(departures, [&](const Departure &it) {
    return it.bootId == departure.bootId;
  });
  departures.push_back(departure);
  if (departures.size() > MaxEntries)
    departures.erase(departures.begin());
  return true;
}

bool DepartureList::addOlder(const std::vector<Departure> &older) {
  const bool isNews = std::ranges::any_of(older, [this](const Departure &it) {
    return !contains(it.bootId, it.startedBy);
  });
  DepartureList merged;
  std::ranges::for_each(older, [&](const Departure &it) { merged.add(it); });
  std::ranges::for_each(departures,
                        [&](const Departure &it) { merged.add(it); });
  departures = std::move(merged.departures);
  return isNews;
}

bool DepartureList::contains(const std::string &bootId,
                             WallTime startedAt) const {
  return std::ranges::any_of(departures, [&](const Departure &it) {
    return it.bootId == bootId && startedAt <= it.startedBy;
  });
}

} // namespace plantainhatch
