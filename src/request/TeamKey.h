/** \file
 * The key by which a caller shows which team it belongs to. */
#ifndef PLANTAINHATCH_REQUEST_TEAMKEY_H
#define PLANTAINHATCH_REQUEST_TEAMKEY_H

#include "request/CallRequest.h"
#include "version/Configuration.h"

#include <optional>
#include <string>

namespace plantainhatch {

/** The digest of the key in "Authorization: Bearer KEY", as
 * Configuration::findTeam() takes it; nothing if there is no such header, or
 * more than one. The key itself is not kept. Pure. */
std::optional<std::string> readKeyDigest(const HeaderList &headers);

/** What one version says of the callers of a rule. */
enum class KeyStatus : std::uint8_t {
  /** The rule needs no key. */
  NotNeeded,
  /** A team holds the key. */
  Held,
  /** There is no key, or no team holds it. */
  Unknown
};

/** The team that a call belongs to by the rule that it is run by. */
struct TeamOfCall {
  KeyStatus status = KeyStatus::NotNeeded;
  /** Set with KeyStatus::Held only. Valid as long as the configuration. */
  const TeamRule *team = nullptr;
};

/** Looks up the team that holds the key with \p digest, if \p rule needs one.
 * Pure. */
TeamOfCall findTeamOfCall(const Configuration &configuration,
                          const ServiceRule &rule,
                          const std::optional<std::string> &digest);

} // namespace plantainhatch

#endif
