#include "request/TeamKey.h"

#include "base/Digest.h"
#include "request/HeaderNames.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>

namespace plantainhatch {

std::optional<std::string> readKeyDigest(const HeaderList &headers) {
  constexpr std::string_view Scheme = "Bearer ";
  const auto isAuthorization = [](const auto &header) {
    return boost::algorithm::iequals(header.first, headers::Authorization);
  };
  const auto it = std::ranges::find_if(headers, isAuthorization);
  // Of two keys, other programs may take the other one.
  if (it == headers.end() ||
      std::ranges::count_if(headers, isAuthorization) > 1)
    return std::nullopt;
  std::string_view key = it->second;
  if (!boost::algorithm::istarts_with(key, Scheme))
    return std::nullopt;
  key.remove_prefix(Scheme.size());
  key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
  key = key.substr(0, key.find_last_not_of(" \t") + 1);
  return key.empty() ? std::nullopt : std::optional(digestOf(key));
}

TeamOfCall findTeamOfCall(const Configuration &configuration,
                          const ServiceRule &rule,
                          const std::optional<std::string> &digest) {
  if (!rule.needsTeamKey)
    return {};
  const TeamRule *const team =
      digest ? configuration.findTeam(*digest) : nullptr;
  return {team == nullptr ? KeyStatus::Unknown : KeyStatus::Held, team};
}

} // namespace plantainhatch
