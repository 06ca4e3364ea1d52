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

  /** Bytes of text that the update carries. */
  std::size_t textSize() const;
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
 * origin, and so is an older document of the operator that the store has
 * brought back, see OperatorDocument. Not thread-safe. */
class ConfigurationReplica {
public:
  /** Deltas kept for peers that lag behind. */
  static constexpr std::size_t MaxDeltas = 64;
  /** Upper bound of the text in the deltas that are kept. */
  static constexpr std::size_t MaxDeltaBytes = 512UL * 1024;

  /** Parses a text and checks it against its head. May take what has not
   * changed from \p previous, the active version. */
  using Builder = std::function<Checked<ConfigurationPtr>(
      ConfigurationHead, std::string, const Configuration &previous)>;

  /** Configuration::build(), for the built-in rules language. */
  static Checked<ConfigurationPtr>
  buildRules(ConfigurationHead head, std::string text,
             const Configuration & /*previous*/) {
    return Configuration::build(std::move(head), std::move(text));
  }

  explicit ConfigurationReplica(Builder builder = buildRules)
      : builder(std::move(builder)), active(Configuration::makeEmpty()) {}

  /** The active configuration; never null. Version 0 without rules at first. */
  const ConfigurationPtr &current() const { return active; }
  std::uint64_t version() const { return active->head().version; }

  /** Activates a version given by its full text, if it is newer. */
  AdoptResult adopt(const ConfigurationHead &head, std::string text);

  /** Activates a version that is built already, if it is newer. */
  AdoptResult adopt(const ConfigurationPtr &built);

  /** Applies a peer's update, if it is newer. Stops at the first delta that
   * fails; the versions before it stay active. */
  AdoptResult adopt(const ConfigurationUpdate &update);

  /** The update for a peer at \p peerVersion with \p digest; nothing if that
   * version is not older than the active one. Without text if the peer's text
   * has the digest of the active one. */
  std::optional<ConfigurationUpdate> updateFor(std::uint64_t peerVersion,
                                               const std::string &digest) const;

private:
  /** What leads from one version that was active to the next one. */
  struct Step {
    std::uint64_t fromVersion = 0;
    std::string fromDigest;
    ConfigurationDelta delta;
  };

  Builder builder;
  ConfigurationPtr active;
  /** In ascending order. The versions need not be consecutive. */
  std::deque<Step> steps;
  std::size_t stepBytes = 0;

  /** The result for a version that is offered; Adopted if it is newer. */
  AdoptResult compare(const ConfigurationHead &head) const;
  void install(const ConfigurationPtr &next);
  void keep(Step step);
};

} // namespace plantainhatch

#endif
