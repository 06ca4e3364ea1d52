#include "process/QuotaPledge.h"

namespace plantainhatch {

bool QuotaPledge::give(const Address &keeper, TimePoint now) {
  if (now < promisedUntil && promisedTo != keeper)
    return false;
  promisedTo = keeper;
  promisedUntil = now + quotaTimes::Promise;
  return true;
}

std::size_t QuotaParts::count(TimePoint now) {
  std::erase_if(seenAt,
                [now](const auto &it) { return now - it.second > MemoryTime; });
  return seenAt.size();
}

} // namespace plantainhatch
