/** \file
 * The configuration in force at one node, which only ever moves forward. */
#ifndef PLANTAINHATCH_PROCESS_CONFIGURATIONREPLICA_H
#define PLANTAINHATCH_PROCESS_CONFIGURATIONREPLICA_H

#include "version/Configuration.h"
#include "version/TextDelta.h"

#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace plantainhatch {

/** One step from a version to the next. */
struct ConfigurationDelta {
  ConfigurationHead head;
  TextDelta delta;
  template <typename Archive> void serialize(Archive &archive) {
    archive(head, delta);
  }
};

/** What takes a node from the version it has to a newer one: steps, or else the
 * whole text. */
struct ConfigurationUpdate {
  std::uint64_t fromVersion = 0;
  std::vector<ConfigurationDelta> deltas;
  /** Set if the sender has not kept the steps that are needed. */
  std::optional<std::pair<ConfigurationHead, std::string>> snapshot;
  template <typename Archive> void serialize(Archive &archive) {
    archive(fromVersion, deltas, snapshot);
  }
};

/** What became of an offered version. */
enum class AdoptResult : std::uint8_t {
  Adopted,
  /** It is not newer than what is in force. */
  NotNewer,
  /** It has the number of the version in force and another content. */
  Conflict,
  /** Its text is damaged or does not fit its head. */
  Invalid
};

/** Holds the version in force. A version with a lower number is never taken,
 * whoever offers it. Not thread-safe. */
class ConfigurationReplica {
public:
  /** Steps kept for peers that lag. */
  static constexpr std::size_t MaxDeltas = 64;

  /** Reads a text; Configuration::build for the product's own rules. */
  using Builder =
      std::function<Checked<ConfigurationPtr>(ConfigurationHead, std::string)>;

  explicit ConfigurationReplica(Builder builder = Configuration::build)
      : builder(std::move(builder)), active(Configuration::makeEmpty()) {}

  /** The version in force; never null. */
  const ConfigurationPtr &current() const { return active; }
  std::uint64_t version() const { return active->head().version; }

  /** Takes a whole version if it is newer. */
  AdoptResult adopt(const ConfigurationHead &head, std::string text);

  /** Takes a peer's update if it is newer. */
  AdoptResult adopt(const ConfigurationUpdate &update);

  /** What a peer at \p version with \p digest needs; nothing if it is up to
   * date. */
  std::optional<ConfigurationUpdate> updateFor(std::uint64_t version,
                                               const std::string &digest) const;

private:
  Builder builder;
  ConfigurationPtr active;
  std::deque<ConfigurationDelta> deltas;
  /** Digest of the text that the first kept step starts from. */
  std::string baseDigest;

  AdoptResult install(const ConfigurationHead &head, std::string text);
  std::optional<std::string> digestAt(std::uint64_t version) const;
};

} // namespace plantainhatch

#endif
