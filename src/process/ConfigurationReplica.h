/** \file
 * The active configuration of one node, and its replication to other nodes. */
#ifndef PLANTAINHATCH_PROCESS_CONFIGURATIONREPLICA_H
#define PLANTAINHATCH_PROCESS_CONFIGURATIONREPLICA_H

#include "version/Configuration.h"
#include "version/TextDelta.h"

#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace plantainhatch {

/** The difference between one version and the next. */
struct ConfigurationDelta {
  /** The head of the newer version. */
  ConfigurationHead head;
  TextDelta textDelta;
  template <typename Archive> void serialize(Archive &archive) {
    archive(head, textDelta);
  }
};

/** Brings a node from the version it has to a newer one, either by deltas or by
 * the full text. */
struct ConfigurationUpdate {
  std::uint64_t fromVersion = 0;
  /** In ascending order of versions, without gaps. */
  std::vector<ConfigurationDelta> deltas;
  /** Set if the sender no longer has the deltas that are needed, or if the
   * receiver's text differs from the one they start from. */
  std::optional<std::pair<ConfigurationHead, std::string>> snapshot;
  template <typename Archive> void serialize(Archive &archive) {
    archive(fromVersion, deltas, snapshot);
  }
};

/** Result of offering a version. */
enum class AdoptResult : std::uint8_t {
  Adopted,
  /** It is not newer than the active version, or does not start from it. */
  NotNewer,
  /** It has the number of the active version but another digest. */
  Conflict,
  /** Its text has errors or does not match the digest of its head, or a delta
   * does not apply. */
  Invalid
};

/** Holds the active configuration version and the latest deltas that led to it.
 * The version number never decreases: an older version is rejected whatever its
 * origin. Not thread-safe. */
class ConfigurationReplica {
public:
  /** Deltas kept for peers that lag behind. */
  static constexpr std::size_t MaxDeltas = 64;

  /** Parses a text and checks it against its head; Configuration::build for the
   * built-in rules language. */
  using Builder =
      std::function<Checked<ConfigurationPtr>(ConfigurationHead, std::string)>;

  explicit ConfigurationReplica(Builder builder = Configuration::build)
      : builder(std::move(builder)), active(Configuration::makeEmpty()) {}

  /** The active configuration; never null. Version 0 without rules at first. */
  const ConfigurationPtr &current() const { return active; }
  std::uint64_t version() const { return active->head().version; }

  /** Activates a version given by its full text, if it is newer. */
  AdoptResult adopt(const ConfigurationHead &head, std::string text);

  /** Applies a peer's update, if it is newer. Stops at the first delta that
   * fails; the versions before it stay active. */
  AdoptResult adopt(const ConfigurationUpdate &update);

  /** The update for a peer at \p peerVersion with \p digest; nothing if that
   * version is not older than the active one. */
  std::optional<ConfigurationUpdate> updateFor(std::uint64_t peerVersion,
                                               const std::string &digest) const;

private:
  Builder builder;
  ConfigurationPtr active;
  std::deque<ConfigurationDelta> deltas;
  /** Digest of the text that the oldest kept delta applies to. */
  std::string baseDigest;

  AdoptResult install(const ConfigurationHead &head, std::string text);
  /** Digest of a version, if the deltas from it to the active one are kept. */
  std::optional<std::string> digestAt(std::uint64_t version) const;
};

} // namespace plantainhatch

#endif
